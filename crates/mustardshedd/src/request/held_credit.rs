//! Credit that is released exactly once.

use std::{sync, time};

use mustardshed::core::{
    boundary::{backend_server, control},
    error, ids, mutation,
};
use tokio::sync::oneshot;

use crate::request::cx;

/// Credit that is released, once, when this is dropped.
#[derive(Debug)]
pub struct HeldCredit {
    cx: sync::Arc<cx::Cx>,
    credit: Option<control::Credit>,
    is_used: bool,
    feedback: control::Feedback,
}

impl HeldCredit {
    /// Requests a credit.
    ///
    /// The request runs in its own task, so that a credit that is granted after this future was
    /// dropped is released as well.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the control thread.
    pub async fn acquire(
        cx: &sync::Arc<cx::Cx>,
        req: control::CreditRequest,
    ) -> Result<Self, error::Error> {
        let (tx, rx) = oneshot::channel();
        let cx = sync::Arc::clone(cx);
        tokio::spawn(async move {
            let prefill_tokens = req.prefill_tokens;
            let granted = cx.control.acquire(req).await;
            let held = granted.map(|credit| Self::new(cx, credit, prefill_tokens));
            drop(tx.send(held));
        });
        rx.await.unwrap_or_else(|_| {
            Err(error::Error::not_run(
                error::ErrorKind::Internal,
                "the task that requests a credit ended early",
            ))
        })
    }

    fn new(cx: sync::Arc<cx::Cx>, credit: control::Credit, prefill_tokens: ids::Tokens) -> Self {
        let feedback = control::Feedback {
            prefill_tokens,
            ..control::Feedback::unused(&credit)
        };
        Self {
            cx,
            credit: Some(credit),
            is_used: false,
            feedback,
        }
    }

    /// Returns the credit, which is there until this is dropped.
    pub const fn credit(&self) -> Option<&control::Credit> {
        self.credit.as_ref()
    }

    /// Returns whether the credit is for this backend server.
    pub fn is_for(&self, server: &str) -> bool {
        let credit = self.credit.as_ref();
        credit.is_some_and(|credit| credit.server == server)
    }

    /// Returns whether the server holds memory for work under the credit.
    pub const fn is_used(&self) -> bool {
        self.is_used
    }

    /// Records that the server holds memory for work under the credit.
    pub const fn set_used(&mut self) {
        self.is_used = true;
    }

    /// Returns whether the time to first token is recorded.
    pub const fn has_first_token(&self) -> bool {
        self.feedback.first_token.is_some()
    }

    /// Records the time from the send to the first token.
    pub const fn set_first_token(&mut self, elapsed: time::Duration) {
        self.feedback.first_token = Some(elapsed);
    }

    /// Records the latest epoch that the server reported.
    pub const fn set_epoch(&mut self, epoch: ids::Epoch) {
        self.feedback.epoch = Some(epoch);
    }

    /// Records how the work failed.
    pub fn set_failure(&mut self, failure: backend_server::BackendServerError) {
        self.feedback.failure = Some(failure);
    }
}

impl Drop for HeldCredit {
    fn drop(&mut self) {
        if mutation::on("credit_kept") {
            return;
        }
        if let Some(credit) = self.credit.take() {
            self.cx.control.release(credit, self.feedback.clone());
        }
    }
}

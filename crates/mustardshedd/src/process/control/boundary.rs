//! The control boundary, as the handle implements it for traffic threads.

use std::sync::{self, atomic};

use async_trait::async_trait;
use mustardshed::core::{
    boundary::control,
    error, ids,
    process::{action, snapshot},
    request::{claim, fate},
};
use tokio::sync::oneshot;

use super::{Command, Handle, handle};

#[async_trait]
impl control::Control for Handle {
    fn snapshot(&self) -> sync::Arc<snapshot::Snapshot> {
        self.published.load_full()
    }

    fn next_request_id(&self, claim: Option<(&ids::ClientAccountId, &str)>) -> ids::RequestId {
        let sequence = self.next_sequence.fetch_add(1, atomic::Ordering::Relaxed);
        let prefix = &self.prefix;
        match claim {
            None => format!("{prefix}.{sequence}"),
            Some((account, key)) => {
                let name = claim::object_name(account, key);
                format!("{prefix}.{sequence}.{name}")
            }
        }
    }

    async fn acquire(&self, req: control::CreditRequest) -> Result<control::Credit, error::Error> {
        let timeout = req.wait_until.saturating_sub(self.clock.now());
        let (tx, rx) = oneshot::channel();
        self.send(Command::Acquire(req, tx));
        handle::await_reply(rx, timeout).await?
    }

    fn release(&self, credit: control::Credit, feedback: control::Feedback) {
        self.send(Command::Release(credit, feedback));
    }

    async fn claim(&self, req: control::ClaimRequest) -> Result<control::Claim, error::Error> {
        self.claims.claim(req).await
    }

    async fn settle(
        &self,
        req: control::ClaimRequest,
        fate: fate::Fate,
    ) -> Result<(), error::Error> {
        self.claims.settle(req, fate).await
    }

    fn record(&self, fate: fate::Fate) {
        self.send(Command::Record(fate));
    }

    async fn fate(&self, id: &ids::RequestId) -> Result<fate::Fate, error::Error> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::WantFate(id.clone(), tx));
        let unknown = match handle::await_reply(rx, handle::FATE_TIMEOUT).await? {
            action::FateAnswer::Known(fate) => return Ok(fate),
            action::FateAnswer::NoSuchRequest => no_such_request(),
            action::FateAnswer::OwnerGone => unknown_fate(id, "is gone"),
            action::FateAnswer::Unanswered => unknown_fate(id, "did not answer"),
        };
        // The claim of a request is kept for longer than its owner remembers the fate.
        self.claims.fate(id).await?.ok_or(unknown)
    }
}

fn unknown_fate(id: &ids::RequestId, what: &str) -> error::Error {
    error::Error::unknown(
        error::ErrorKind::FateUnknown,
        format!("the entry that handled {id} {what}"),
    )
}

fn no_such_request() -> error::Error {
    error::Error::not_run(
        error::ErrorKind::UnknownRequest,
        "no request with this identifier is known",
    )
}

//! Work on one backend server or on a gang of engines, which is cleaned up however it ends.

use std::{sync, time};

use mustardshed::core::{boundary::backend_server, ids, mutation, request::gang};

use crate::request::{cx, held_credit};

/// Greatest number of attempts to cancel work or to release a reservation.
const CLEANUP_ATTEMPTS: u32 = 5;
/// Pause after the first failed attempt; it doubles with each further attempt.
const CLEANUP_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Credits, reservations and work that one attempt holds.
///
/// When it is dropped, work that was sent and has not ended is cancelled, then the reservations are
/// released, and then the credits, so that no credit is granted again before its memory is free.
#[derive(Debug)]
pub struct Placement {
    cx: sync::Arc<cx::Cx>,
    id: ids::RequestId,
    credits: Vec<held_credit::HeldCredit>,
    /// Addresses of the engines on which memory is or may be reserved.
    reserved: Vec<String>,
    /// Address of the server that the work was sent to, until the work ends.
    running_at: Option<String>,
}

impl Placement {
    /// Creates a placement that holds nothing yet.
    pub fn new(cx: &sync::Arc<cx::Cx>, id: ids::RequestId) -> Self {
        Self {
            cx: sync::Arc::clone(cx),
            id,
            credits: Vec::new(),
            reserved: Vec::new(),
            running_at: None,
        }
    }

    /// Adds a credit.
    pub fn add_credit(&mut self, credit: held_credit::HeldCredit) {
        self.credits.push(credit);
    }

    /// Reserves memory on one engine of a gang.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call to the engine. The reservation is released even then, since
    /// the engine may have made it although its response was lost.
    pub async fn reserve(
        &mut self,
        engine: &gang::Engine,
        tokens: ids::Tokens,
    ) -> Result<(), backend_server::BackendServerError> {
        self.reserved.push(engine.address.clone());
        let cx = sync::Arc::clone(&self.cx);
        cx.servers
            .reserve(&engine.address, &self.id, tokens)
            .await?;
        let mut credits = self.credits.iter_mut();
        if let Some(credit) = credits.find(|held| held.is_for(&engine.server)) {
            credit.set_used();
        }
        Ok(())
    }

    /// Returns the credits.
    pub fn credits(&self) -> &[held_credit::HeldCredit] {
        &self.credits
    }

    /// Returns the credits, to record on them how the work went.
    pub fn credits_mut(&mut self) -> &mut [held_credit::HeldCredit] {
        &mut self.credits
    }

    /// Records that the work is being sent to the server at `address`.
    pub fn set_running(&mut self, address: &str) {
        self.running_at = Some(address.to_owned());
    }

    /// Records that the work ended or never ran, so that there is nothing to cancel.
    pub fn set_ended(&mut self) {
        self.running_at = None;
    }

    /// Records on the credits the epoch of a response, if it has one.
    pub fn set_epoch(&mut self, epoch: Option<ids::Epoch>) {
        let Some(epoch) = epoch else {
            return;
        };
        for credit in &mut self.credits {
            credit.set_epoch(epoch);
        }
    }

    /// Records on the credits how the work failed.
    pub fn set_failure(&mut self, failure: &backend_server::BackendServerError) {
        for credit in &mut self.credits {
            credit.set_failure(failure.clone());
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let is_clean = self.running_at.is_none() && self.reserved.is_empty();
        if is_clean || mutation::on("uncancelled") {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let cleanup = Cleanup {
            cx: sync::Arc::clone(&self.cx),
            id: std::mem::take(&mut self.id),
            credits: std::mem::take(&mut self.credits),
            reserved: std::mem::take(&mut self.reserved),
            running_at: self.running_at.take(),
        };
        runtime.spawn(cleanup.run());
    }
}

/// What a dropped placement held, to be cancelled and released.
struct Cleanup {
    cx: sync::Arc<cx::Cx>,
    id: ids::RequestId,
    credits: Vec<held_credit::HeldCredit>,
    reserved: Vec<String>,
    running_at: Option<String>,
}

impl Cleanup {
    async fn run(self) {
        if let Some(address) = &self.running_at {
            let cancel = || self.cx.servers.cancel(address, &self.id);
            call_with_retries(cancel).await;
        }
        for address in &self.reserved {
            let release = || self.cx.servers.release(address, &self.id);
            call_with_retries(release).await;
        }
        drop(self.credits);
    }
}

/// Makes a call until it succeeds or [`CLEANUP_ATTEMPTS`] have failed.
async fn call_with_retries<F>(mut call: impl FnMut() -> F)
where
    F: Future<Output = Result<(), backend_server::BackendServerError>>,
{
    let mut pause = CLEANUP_PAUSE;
    for _ in 0..CLEANUP_ATTEMPTS {
        if call().await.is_ok() {
            return;
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
}

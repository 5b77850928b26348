//! Claims for at-most-once execution, stored on the platform.
//!
//! [`claim::ClaimAttempt`] and [`claim::Settlement`] decide; this module makes their calls. A claim
//! is made in a task of its own, so that it is released even if its caller has given up.

mod objects;
pub mod sweeper;

use std::{sync, time};

use mustardshed::core::{
    boundary::{clock, control as boundary, platform},
    error, ids,
    outcome::Outcome,
    process::action,
    request::{claim, fate},
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::task;

use crate::process::control::{self, Command, handle};

/// Timeout for making a claim.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Maximum number of attempts to record the end of a claim.
const END_ATTEMPTS: u32 = 8;
/// Wait after the first failed attempt; it doubles with each further one.
const END_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Claims of non-idempotent calls.
#[derive(Clone, Debug)]
pub struct Claims {
    objects: objects::Objects,
    clock: sync::Arc<dyn clock::Clock>,
    commands_tx: mpsc::UnboundedSender<Command>,
    tasks: task::TaskTracker,
}

impl Claims {
    /// Creates the claims of an entry.
    pub(crate) fn new(parts: &control::Parts, commands_tx: mpsc::UnboundedSender<Command>) -> Self {
        Self {
            objects: objects::Objects::new(sync::Arc::clone(&parts.platform)),
            clock: sync::Arc::clone(&parts.clock),
            commands_tx,
            tasks: task::TaskTracker::new(),
        }
    }

    /// Claims a non-idempotent call.
    ///
    /// # Errors
    ///
    /// Returns an error with the outcome `not_run` if the call must not be sent.
    pub async fn claim(
        &self,
        req: boundary::ClaimRequest,
    ) -> Result<boundary::Claim, error::Error> {
        let (tx, rx) = oneshot::channel();
        let claims = self.clone();
        self.tasks.spawn(async move {
            let request = req.request.clone();
            let name = claim::object_name(&req.account, &req.key);
            let (ended, is_doubtful) = claims.make(req, &name).await;
            let is_granted = matches!(ended, claim::Ended::Granted { .. });
            let is_unused = tx.send(ended).is_err() && is_granted;
            if is_unused || is_doubtful {
                claims.release(request, &name).await;
            }
        });
        match rx.await {
            Ok(claim::Ended::Granted { .. }) => Ok(boundary::Claim::Granted),
            Ok(claim::Ended::Duplicate(fate)) => Ok(boundary::Claim::Duplicate(fate)),
            Ok(claim::Ended::Refused(err)) => Err(err),
            Err(_) => Err(error::Error::not_run(
                error::ErrorKind::Internal,
                "claiming the call ended early",
            )),
        }
    }

    /// Waits, for at most `timeout`, until no claim is being made or released; returns how many
    /// still are.
    pub async fn wait_until_idle(&self, timeout: time::Duration) -> usize {
        self.tasks.close();
        drop(tokio::time::timeout(timeout, self.tasks.wait()).await);
        self.tasks.len()
    }

    /// Records the final fate of a claimed call so that repeats find it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not store the fate of a call that may have run.
    pub async fn settle(
        &self,
        req: boundary::ClaimRequest,
        fate: fate::Fate,
    ) -> Result<(), error::Error> {
        let name = claim::object_name(&req.account, &req.key);
        let did_not_run = fate.outcome == Outcome::NotRun;
        let begin = || claim::Settlement::settle(req.request.clone(), fate.clone());
        if self.finish_with_retries(begin, &name).await || did_not_run {
            return Ok(());
        }
        Err(error::Error::failed(
            error::ErrorKind::PlatformUnavailable,
            "the fate of the call is not recorded",
        ))
    }

    /// Reads the fate of a request from its claim; `None` if it holds no claim.
    ///
    /// # Errors
    ///
    /// Returns an error with the outcome `unknown` if the platform does not answer.
    pub async fn fate(&self, id: &ids::RequestId) -> Result<Option<fate::Fate>, error::Error> {
        let Some((name, account)) = claim_of(id) else {
            return Ok(None);
        };
        let held = match self.objects.get(name).await {
            Ok(Some((_, held))) if held.request == *id => held,
            Ok(_) => return Ok(None),
            Err(e) => {
                let kind = error::ErrorKind::PlatformUnavailable;
                return Err(error::Error::unknown(kind, e.to_string()));
            }
        };
        let unknown = || fate::Fate::unknown(id.clone(), account.to_owned());
        Ok(Some(held.fate.unwrap_or_else(unknown)))
    }

    /// Makes a claim; also returns whether an unused one may be left on the platform.
    async fn make(&self, req: boundary::ClaimRequest, name: &str) -> (claim::Ended, bool) {
        let deadline = self.clock.now() + CLAIM_TIMEOUT;
        let (mut attempt, mut step) = claim::ClaimAttempt::begin(req, wall_now(), deadline);
        loop {
            step = match step {
                claim::Step::Put { expected, value } => {
                    let result = self.objects.put(name, expected, &value).await;
                    attempt.on_put(result, self.clock.now())
                }
                claim::Step::Get => {
                    let result = self.objects.get(name).await;
                    attempt.on_get(result, self.clock.now())
                }
                claim::Step::WantFate { request } => {
                    attempt.on_fate(self.fate_of_owner(request).await)
                }
                claim::Step::Done(ended) => return (ended, attempt.must_release()),
            };
        }
    }

    /// Queries the owner of a request for its fate.
    async fn fate_of_owner(&self, request: ids::RequestId) -> action::FateAnswer {
        let (tx, rx) = oneshot::channel();
        // The control thread lives as long as the process.
        let _ = self.commands_tx.send(Command::WantFate(request, tx));
        handle::await_reply(rx, handle::FATE_TIMEOUT)
            .await
            .unwrap_or(action::FateAnswer::Unanswered)
    }

    /// Releases a claim whose request never sent its call and never will.
    async fn release(&self, request: ids::RequestId, name: &str) {
        let begin = || claim::Settlement::release(request.clone());
        self.finish_with_retries(begin, name).await;
    }

    /// Records the end of a claim, in up to [`END_ATTEMPTS`] attempts; returns whether it is
    /// recorded.
    async fn finish_with_retries(
        &self,
        begin: impl Fn() -> (claim::Settlement, claim::settlement::Step),
        name: &str,
    ) -> bool {
        let mut pause = END_PAUSE;
        for _ in 0..END_ATTEMPTS {
            let (settlement, step) = begin();
            if self.finish(settlement, step, name).await {
                return true;
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        false
    }

    /// Records the end of a claim in one attempt; returns whether it is recorded.
    async fn finish(
        &self,
        mut settlement: claim::Settlement,
        mut step: claim::settlement::Step,
        name: &str,
    ) -> bool {
        use claim::settlement::Step;
        loop {
            step = match step {
                Step::Put { expected, value } => {
                    let result = self.objects.put(name, expected, &value).await;
                    settlement.on_write(result.map(|_| ()))
                }
                Step::Delete { expected } => {
                    let purpose = platform::Purpose::Claim;
                    settlement.on_write(self.objects.delete(purpose, name, expected).await)
                }
                Step::Get => settlement.on_get(self.objects.get(name).await),
                Step::Done(is_recorded) => return is_recorded,
            };
        }
    }
}

/// Returns the name of a request's claim object and the client account in that name, if any.
fn claim_of(id: &ids::RequestId) -> Option<(&str, &str)> {
    let name = id.splitn(4, '.').nth(3)?;
    let (account, _) = name.split_once('.')?;
    Some((name, account))
}

/// Returns the time since the Unix epoch.
fn wall_now() -> time::Duration {
    time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default()
}

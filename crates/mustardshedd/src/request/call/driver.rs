//! Driver of a call of a plain service, from its claim to its response.

use std::{
    sync::{self, atomic},
    time,
};

use mustardshed::core::{boundary::control, error, ids, outcome::Outcome, request::fate};
use tokio::sync::oneshot;

use crate::request::{attempts, call, cx, failure, report, settlement};

/// Longest wait beyond the deadline for the fate of a call that must not be repeated.
const FATE_WAIT: time::Duration = time::Duration::from_secs(60);

/// Sender of a call's result to its caller, used at most once.
struct Caller(Option<oneshot::Sender<call::Ended>>);

impl Caller {
    fn notify(&mut self, ended: call::Ended) {
        if let Some(tx) = self.0.take() {
            drop(tx.send(ended));
        }
    }
}

/// Runs one call.
#[derive(Debug)]
pub struct Driver {
    pub(super) cx: sync::Arc<cx::Cx>,
    pub(super) call: call::Call,
    /// Servers that the call was sent to by any attempt; they are not tried again.
    pub(super) tried: Vec<ids::BackendServerId>,
    /// Servers that ran the call or may have run it.
    pub(super) sent_to: Vec<ids::BackendServerId>,
    /// Servers for which a credit was refused since the last pause.
    pub(super) denied: Vec<ids::BackendServerId>,
    /// Whether the last refused credit was refused because stewards are changing.
    pub(super) is_steward_changing: bool,
    /// Number of attempts so far.
    pub(super) attempt_count: u32,
    pub(super) attempts: attempts::Attempts,
    /// Whether any server ran the call or may have run it.
    pub(super) may_have_run: sync::Arc<atomic::AtomicBool>,
    started_at: ids::Timestamp,
}

impl Driver {
    /// Creates the driver of an admitted call.
    pub fn new(cx: sync::Arc<cx::Cx>, call: call::Call) -> Self {
        let attempts = attempts::Attempts::new(&cx, &call.job);
        let started_at = cx.clock.now();
        Self {
            cx,
            call,
            tried: Vec::new(),
            sent_to: Vec::new(),
            denied: Vec::new(),
            is_steward_changing: false,
            attempt_count: 0,
            attempts,
            may_have_run: sync::Arc::default(),
            started_at,
        }
    }

    /// Runs the call to its end and sends the result over `tx`.
    pub async fn run(mut self, tx: oneshot::Sender<call::Ended>) {
        let mut caller = Caller(Some(tx));
        let ended = self.drive(&mut caller).await;
        let (outcome, kind, response) = match &ended {
            call::Ended::Duplicate(_) => {
                settlement::record_duplicate(&self.cx, &self.call.job);
                caller.notify(ended);
                return;
            }
            call::Ended::Answered(response) => (Outcome::Completed, None, Some(response.clone())),
            call::Ended::Declined(response) => (
                Outcome::Unknown,
                Some(error::ErrorKind::FateUnknown),
                Some(response.clone()),
            ),
            call::Ended::Failed(err) => (self.own_outcome(err), Some(err.kind), None),
        };
        self.log_end(outcome, kind);
        let is_answered = response.is_some();
        let stored = response.filter(|_| self.call.job.claim.is_some());
        let fate = self.fate(outcome, kind, stored);
        if is_answered {
            settlement::conclude(&self.cx, &self.call.job, fate).await;
            caller.notify(ended);
        } else {
            caller.notify(ended);
            settlement::conclude(&self.cx, &self.call.job, fate).await;
        }
    }

    /// Makes attempts until the call ends or its deadline passes.
    ///
    /// A call that must not be repeated and may be running is awaited beyond its deadline, so that
    /// its true fate becomes known; its caller gets an error at the deadline all the same.
    async fn drive(&mut self, caller: &mut Caller) -> call::Ended {
        let cx = sync::Arc::clone(&self.cx);
        let deadline = self.call.job.deadline;
        let is_repeatable = self.call.is_repeatable;
        let may_have_run = sync::Arc::clone(&self.may_have_run);
        let mut attempts = std::pin::pin!(self.claim_and_attempt());
        tokio::select! {
            biased;
            ended = &mut attempts => return ended,
            () = cx.sleep_until(deadline) => {}
        }
        if !may_have_run.load(atomic::Ordering::SeqCst) {
            return call::Ended::Failed(deadline_error(Outcome::NotRun));
        }
        let unknown = call::Ended::Failed(deadline_error(Outcome::Unknown));
        if is_repeatable {
            return unknown;
        }
        caller.notify(unknown.clone());
        let ended = tokio::time::timeout(FATE_WAIT, attempts).await;
        ended.unwrap_or(unknown)
    }

    async fn claim_and_attempt(&mut self) -> call::Ended {
        match settlement::claim(&self.cx, &self.call.job).await {
            Ok(control::Claim::Granted) => {}
            Ok(control::Claim::Duplicate(fate)) => return call::Ended::Duplicate(Box::new(fate)),
            Err(err) => {
                // A claim that was not granted must not be settled.
                self.call.job.claim = None;
                return call::Ended::Failed(err);
            }
        }
        match self.attempt_until_end().await {
            Ok(response) if self.is_declined(&response) => call::Ended::Declined(response),
            Ok(response) => call::Ended::Answered(response),
            Err(err) => call::Ended::Failed(self.with_true_outcome(err)),
        }
    }

    /// Makes attempts until the service responds or no further attempt may follow.
    async fn attempt_until_end(&mut self) -> Result<fate::StoredResponse, error::Error> {
        loop {
            self.attempt_count += 1;
            let failure = match self.attempt().await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            self.log_failure(&failure);
            if self.attempts.after_failure(&self.cx, failure).await? == failure::Next::RetryLater {
                self.denied.clear();
            }
        }
    }

    /// Returns whether the service responded that it did not accept a call that must not repeat.
    fn is_declined(&self, response: &fate::StoredResponse) -> bool {
        !self.call.is_repeatable && response.outcome() == Outcome::Unknown
    }

    /// Sets the outcome of an error according to whether the call may have run.
    ///
    /// A service can't be told to stop, so the outcome of a call that it may have begun is unknown.
    fn with_true_outcome(&self, mut err: error::Error) -> error::Error {
        if !self.may_have_run.load(atomic::Ordering::SeqCst) {
            return err;
        }
        err.outcome = Outcome::Unknown;
        if err.kind != error::ErrorKind::DeadlineExceeded && !self.call.is_repeatable {
            err.kind = error::ErrorKind::FateUnknown;
            err.retry_after = None;
        }
        err
    }

    /// Returns the outcome of this call itself, which is that it did not run if no server may have.
    ///
    /// The error's own outcome may be that of an earlier request with the same key.
    fn own_outcome(&self, err: &error::Error) -> Outcome {
        if self.may_have_run.load(atomic::Ordering::SeqCst) {
            return err.outcome;
        }
        Outcome::NotRun
    }

    fn fate(
        &self,
        outcome: Outcome,
        error: Option<error::ErrorKind>,
        response: Option<fate::StoredResponse>,
    ) -> fate::Fate {
        self.call.job.fate(outcome, error, &self.sent_to, response)
    }

    /// Records that the call is running.
    pub(super) fn record_running(&self) {
        self.cx
            .control
            .record(self.fate(Outcome::Running, None, None));
    }

    fn log_failure(&self, failure: &failure::Failure) {
        report::failed(&self.call.job, &self.sent_to, failure);
    }

    fn log_end(&self, outcome: Outcome, error: Option<error::ErrorKind>) {
        let end = report::End {
            outcome,
            error,
            servers: &self.sent_to,
            tokens: 0,
            started_at: self.started_at,
            metric: "call.elapsed",
        };
        report::ended(&self.cx, &self.call.job, end);
    }
}

/// Returns the error of a call whose deadline passed, with the given outcome.
fn deadline_error(outcome: Outcome) -> error::Error {
    let mut err = error::Error::not_run(
        error::ErrorKind::DeadlineExceeded,
        "the deadline passed before the service responded",
    );
    err.outcome = outcome;
    err
}

//! Carries a call of a plain service from its claim to its answer.

use std::{
    sync::{self, atomic},
    time,
};

use mustardshed::core::{boundary::control, error, ids, outcome::Outcome, request::fate};
use tokio::sync::oneshot;

use crate::request::{attempts, call, cx, failure, report, settlement};

/// Wait beyond the deadline for the fate of a call that may not be repeated.
const FATE_WAIT: time::Duration = time::Duration::from_secs(60);

/// Who waits for a call's end; told once.
struct Caller(Option<oneshot::Sender<call::Ended>>);

impl Caller {
    fn notify(&mut self, ended: call::Ended) {
        if let Some(tx) = self.0.take() {
            drop(tx.send(ended));
        }
    }
}

/// Carries one call.
#[derive(Debug)]
pub struct Driver {
    pub(super) cx: sync::Arc<cx::Cx>,
    pub(super) call: call::Call,
    /// Servers that are not to be tried again.
    pub(super) tried: Vec<ids::BackendServerId>,
    /// Servers that were given the call.
    pub(super) sent_to: Vec<ids::BackendServerId>,
    /// Servers whose credits were refused since the last pause.
    pub(super) denied: Vec<ids::BackendServerId>,
    /// Whether a credit was refused because stewards change.
    pub(super) is_steward_changing: bool,
    /// Attempts so far.
    pub(super) attempt_count: u32,
    pub(super) attempts: attempts::Attempts,
    /// Whether any server ran the call, or may have run it.
    pub(super) may_have_run: sync::Arc<atomic::AtomicBool>,
    started_at: ids::Timestamp,
}

impl Driver {
    /// Makes the driver of an admitted call.
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

    /// Carries the call to its end and tells it over `tx`.
    pub async fn run(mut self, tx: oneshot::Sender<call::Ended>) {
        let mut caller = Caller(Some(tx));
        let ended = self.drive(&mut caller).await;
        let (outcome, kind, answer) = match &ended {
            call::Ended::Duplicate(_) => {
                settlement::record_duplicate(&self.cx, &self.call.job);
                caller.notify(ended);
                return;
            }
            call::Ended::Answered(answer) => (Outcome::Completed, None, Some(answer.clone())),
            call::Ended::Declined(answer) => (
                Outcome::Unknown,
                Some(error::ErrorKind::FateUnknown),
                Some(answer.clone()),
            ),
            call::Ended::Failed(err) => (self.own_outcome(err), Some(err.kind), None),
        };
        self.log_end(outcome, kind);
        let is_answered = answer.is_some();
        let kept = answer.filter(|_| self.call.job.claim.is_some());
        let fate = self.fate(outcome, kind, kept);
        if is_answered {
            settlement::conclude(&self.cx, &self.call.job, fate).await;
            caller.notify(ended);
        } else {
            caller.notify(ended);
            settlement::conclude(&self.cx, &self.call.job, fate).await;
        }
    }

    /// Attempts until the call ends or its deadline passes.
    ///
    /// A call that may not be repeated and may be running is waited for beyond its deadline, so
    /// that its true fate can be told later; its caller is answered at the deadline all the same.
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
            return call::Ended::Failed(late(Outcome::NotRun));
        }
        let unknown = call::Ended::Failed(late(Outcome::Unknown));
        if is_repeatable {
            return unknown;
        }
        caller.notify(unknown.clone());
        let learned = tokio::time::timeout(FATE_WAIT, attempts).await;
        learned.unwrap_or(unknown)
    }

    async fn claim_and_attempt(&mut self) -> call::Ended {
        match settlement::claim(&self.cx, &self.call.job).await {
            Ok(control::Claim::Granted) => {}
            Ok(control::Claim::Duplicate(fate)) => return call::Ended::Duplicate(Box::new(fate)),
            Err(err) => {
                // A claim that is not held has no end to be recorded.
                self.call.job.claim = None;
                return call::Ended::Failed(err);
            }
        }
        match self.attempt_until_end().await {
            Ok(answer) if self.is_declined(&answer) => call::Ended::Declined(answer),
            Ok(answer) => call::Ended::Answered(answer),
            Err(err) => call::Ended::Failed(self.with_true_outcome(err)),
        }
    }

    /// Attempts until the service answers or no further attempt is due.
    async fn attempt_until_end(&mut self) -> Result<fate::StoredResponse, error::Error> {
        loop {
            self.attempt_count += 1;
            let failure = match self.attempt().await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.log_failure(&failure);
            if self.attempts.after_failure(&self.cx, failure).await? == failure::Next::RetryLater {
                self.denied.clear();
            }
        }
    }

    /// Returns whether a service says that it did not take a call that may not be repeated.
    fn is_declined(&self, answer: &fate::StoredResponse) -> bool {
        !self.call.is_repeatable && answer.outcome() == Outcome::Unknown
    }

    /// Sets the outcome of an error by what the servers were given.
    ///
    /// A service cannot be told to stop, so that a call which it may have begun has an unknown end.
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

    /// Returns the outcome of this call; what a repeat is told is the earlier request's.
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
        answer: Option<fate::StoredResponse>,
    ) -> fate::Fate {
        self.call.job.fate(outcome, error, &self.sent_to, answer)
    }

    /// Records that the call is being worked on.
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

/// Returns the error of a call whose deadline passed.
fn late(outcome: Outcome) -> error::Error {
    let mut err = error::Error::not_run(
        error::ErrorKind::DeadlineExceeded,
        "the deadline passed before the service answered",
    );
    err.outcome = outcome;
    err
}

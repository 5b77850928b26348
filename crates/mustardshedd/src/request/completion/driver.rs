//! Driver of a prompt, from its claim to the last chunk of its output.

use std::{sync, time};

use mustardshed::core::{boundary::control, error, ids, mutation, outcome::Outcome, request::fate};
use tokio::sync::mpsc;

use crate::request::{
    attempts, completion, completion::progress, cx, failure, full_output, output, report,
    settlement,
};

/// Longest wait for the connection to accept the last message.
const FINAL_SEND_WAIT: time::Duration = time::Duration::from_secs(10);

/// Runs one prompt.
#[derive(Debug)]
pub struct Driver {
    pub(super) cx: sync::Arc<cx::Cx>,
    pub(super) completion: completion::Completion,
    pub(super) tx: mpsc::Sender<output::Output>,
    pub(super) progress: progress::Progress,
    pub(super) attempts: attempts::Attempts,
    format: sync::Arc<dyn full_output::ResponseFormat>,
    started_at: ids::Timestamp,
}

/// Reason for which the attempts stopped.
enum Stop {
    /// The full output was read, or an error ended the attempts.
    Ended(Result<(), error::Error>),
    /// An earlier request with the same key holds or held the claim.
    Duplicate(fate::Fate),
    /// The deadline passed.
    Deadline,
    /// The caller closed the connection.
    CallerGone,
}

impl Driver {
    /// Creates the driver of an admitted prompt.
    pub fn new(
        cx: sync::Arc<cx::Cx>,
        completion: completion::Completion,
        format: sync::Arc<dyn full_output::ResponseFormat>,
        tx: mpsc::Sender<output::Output>,
    ) -> Self {
        let job = &completion.job;
        let progress = progress::Progress::new(job.id.clone(), job.claim.is_some());
        let attempts = attempts::Attempts::new(&cx, job);
        let started_at = cx.clock.now();
        Self {
            cx,
            completion,
            tx,
            progress,
            attempts,
            format,
            started_at,
        }
    }

    /// Runs the prompt to its end.
    pub async fn run(mut self) {
        match self.drive().await {
            Stop::Ended(Ok(())) => self.complete().await,
            Stop::Ended(Err(err)) => self.fail(err).await,
            Stop::Duplicate(fate) => {
                settlement::record_duplicate(&self.cx, &self.completion.job);
                self.send_final(output::Output::Duplicate(Box::new(fate)))
                    .await
            }
            Stop::Deadline => {
                let err = error::Error::not_run(
                    error::ErrorKind::DeadlineExceeded,
                    "the deadline passed before the output was complete",
                );
                self.fail(err).await;
            }
            Stop::CallerGone => self.abandon().await,
        }
    }

    /// Makes attempts until the prompt ends, its deadline passes, or its caller disconnects.
    ///
    /// The attempts' future, and with it the placement, is dropped before this returns, so that the
    /// work is cancelled and the credits are released in every case.
    async fn drive(&mut self) -> Stop {
        let cx = sync::Arc::clone(&self.cx);
        let tx = self.tx.clone();
        let deadline = self.completion.job.deadline;
        let needs_caller = self.completion.job.claim.is_none();
        tokio::select! {
            biased;
            stop = self.claim_and_attempt() => stop,
            () = cx.sleep_until(deadline), if !mutation::on("deadline_ignored") => Stop::Deadline,
            () = tx.closed(), if needs_caller => Stop::CallerGone,
        }
    }

    async fn claim_and_attempt(&mut self) -> Stop {
        match settlement::claim(&self.cx, &self.completion.job).await {
            Ok(control::Claim::Granted) => Stop::Ended(self.attempt_until_end().await),
            Ok(control::Claim::Duplicate(fate)) => Stop::Duplicate(fate),
            Err(err) => {
                // A claim that was not granted must not be settled.
                self.completion.job.claim = None;
                Stop::Ended(Err(err))
            }
        }
    }

    /// Makes attempts until the full output was read or no further attempt may follow.
    async fn attempt_until_end(&mut self) -> Result<(), error::Error> {
        loop {
            self.progress.attempt_count += 1;
            let Err(failure) = self.attempt().await else {
                return Ok(());
            };
            self.log_failure(&failure);
            if self.attempts.after_failure(&self.cx, failure).await? == failure::Next::RetryLater {
                self.progress.denied.clear();
            }
        }
    }

    /// Ends a prompt whose full output was read.
    async fn complete(mut self) {
        let response = self
            .progress
            .stored_output
            .take()
            .map(|output| self.format.response(&output));
        self.log_end(Outcome::Completed, None);
        let fate = self.fate(Outcome::Completed, None, response);
        settlement::conclude(&self.cx, &self.completion.job, fate).await;
        if let Some(last) = self.progress.last_chunk.take() {
            self.send_final(output::Output::Chunk(last)).await;
        }
    }

    /// Ends a prompt with an error; its outcome is adjusted if an engine may have run the prompt.
    async fn fail(self, mut err: error::Error) {
        let ran = self.progress.may_have_run && !mutation::on("not_run_after_send");
        if ran && err.outcome == Outcome::NotRun {
            err.outcome = Outcome::Failed;
            if err.kind != error::ErrorKind::DeadlineExceeded {
                err.kind = error::ErrorKind::BackendServerFailed;
            }
        }
        // The error of a duplicate carries the outcome of the earlier request, not its own.
        let outcome = if self.progress.may_have_run {
            err.outcome
        } else {
            Outcome::NotRun
        };
        self.log_end(outcome, Some(err.kind));
        let fate = self.fate(outcome, Some(err.kind), None);
        self.send_final(output::Output::Failed(err)).await;
        settlement::conclude(&self.cx, &self.completion.job, fate).await;
    }

    /// Ends a prompt whose caller disconnected.
    async fn abandon(self) {
        let outcome = if self.progress.may_have_run {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        self.log_end(outcome, None);
        let fate = self.fate(outcome, None, None);
        settlement::conclude(&self.cx, &self.completion.job, fate).await;
    }

    /// Sends the last message; drops it if the connection doesn't accept it in time.
    async fn send_final(&self, output: output::Output) {
        drop(tokio::time::timeout(FINAL_SEND_WAIT, self.tx.send(output)).await);
    }

    fn fate(
        &self,
        outcome: Outcome,
        error: Option<error::ErrorKind>,
        response: Option<fate::StoredResponse>,
    ) -> fate::Fate {
        self.completion
            .job
            .fate(outcome, error, &self.progress.sent_to, response)
    }

    /// Records that the prompt is running.
    pub(super) fn record_running(&self) {
        self.cx
            .control
            .record(self.fate(Outcome::Running, None, None));
    }

    fn log_failure(&self, failure: &failure::Failure) {
        report::failed(&self.completion.job, &self.progress.sent_to, failure);
    }

    fn log_end(&self, outcome: Outcome, error: Option<error::ErrorKind>) {
        let end = report::End {
            outcome,
            error,
            servers: &self.progress.sent_to,
            tokens: self.progress.assembly.next_offset(),
            started_at: self.started_at,
            metric: "request.elapsed",
        };
        report::ended(&self.cx, &self.completion.job, end);
    }
}

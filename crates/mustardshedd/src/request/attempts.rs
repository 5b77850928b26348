//! Whether another attempt follows a failed one.

use std::{sync, time};

use mustardshed::core::{error, ids, request::retry};

use crate::request::{cx, failure, job};

/// Attempts in a row that no backend server saw, at most.
const MAX_FREE_ATTEMPTS: u32 = 4;
/// Part of the time left until the deadline for which credits are waited for.
const CREDIT_WAIT_DIVISOR: u32 = 2;
/// Part of the time left until the deadline for which a change of stewards is waited for.
const STEWARD_WAIT_DIVISOR: u32 = 2;
/// Longest wait for a change of stewards.
const MAX_STEWARD_WAIT: time::Duration = time::Duration::from_secs(8);
/// Pause before the next look at a change of stewards.
const STEWARD_WAIT_PAUSE: time::Duration = time::Duration::from_millis(150);

/// What one request may still attempt.
#[derive(Debug)]
pub struct Attempts {
    budget: sync::Arc<retry::Budget>,
    deadline: ids::Timestamp,
    /// Time until which credits are waited for.
    wait_until: ids::Timestamp,
    /// Time until which a change of stewards is waited for.
    steward_wait_until: ids::Timestamp,
    free_attempts: u32,
    last: Option<error::Error>,
}

impl Attempts {
    /// Makes the attempts of a new request, and pays its part into its service's budget.
    pub fn new(cx: &cx::Cx, job: &job::Job) -> Self {
        let budget = cx.budgets.get(&job.service);
        budget.deposit(job.retry_percent);
        let now = cx.clock.now();
        let left = job.deadline.saturating_sub(now);
        Self {
            budget,
            deadline: job.deadline,
            wait_until: now + left / CREDIT_WAIT_DIVISOR,
            steward_wait_until: now + MAX_STEWARD_WAIT.min(left / STEWARD_WAIT_DIVISOR),
            free_attempts: 0,
            last: None,
        }
    }

    /// Returns the time until which credits are waited for.
    pub const fn wait_until(&self) -> ids::Timestamp {
        self.wait_until
    }

    /// Decides what follows a failure; returns when another attempt may be made.
    ///
    /// # Errors
    ///
    /// Returns the error that the request ends with.
    pub async fn after_failure(
        &mut self,
        cx: &cx::Cx,
        failure: failure::Failure,
    ) -> Result<failure::Next, error::Error> {
        let now = cx.clock.now();
        let goes_on = match failure.next {
            failure::Next::Stop => false,
            failure::Next::RetryFree => {
                self.free_attempts += 1;
                self.free_attempts < MAX_FREE_ATTEMPTS && now < self.wait_until
            }
            failure::Next::RetryLater => now + STEWARD_WAIT_PAUSE < self.steward_wait_until,
            failure::Next::Retry => {
                let left = self.deadline.saturating_sub(now);
                self.wait_until = now + left / CREDIT_WAIT_DIVISOR;
                self.budget.withdraw()
            }
        };
        if !goes_on {
            return Err(self.final_error(failure.error));
        }
        if failure.next == failure::Next::RetryLater {
            self.free_attempts = 0;
            tokio::time::sleep(STEWARD_WAIT_PAUSE).await;
        }
        self.last = Some(failure.error);
        Ok(failure.next)
    }

    /// Returns the error before the last if the last says only that there is nobody left to ask.
    fn final_error(&mut self, err: error::Error) -> error::Error {
        if err.kind != error::ErrorKind::NoBackendServer {
            return err;
        }
        self.last.take().unwrap_or(err)
    }
}

//! Decides whether another attempt follows a failed one.

use std::{sync, time};

use mustardshed::core::{error, ids, request::retry};

use crate::request::{cx, failure, job};

/// Greatest number of attempts in a row that fail before they reach a backend server.
const MAX_FREE_ATTEMPTS: u32 = 4;
/// Divisor of the time left until the deadline; the quotient bounds the wait for credits.
const CREDIT_WAIT_DIVISOR: u32 = 2;
/// Divisor of the time left until the deadline; the quotient bounds the wait for new stewards.
const STEWARD_WAIT_DIVISOR: u32 = 2;
/// Longest wait for a change of stewards to complete.
const MAX_STEWARD_WAIT: time::Duration = time::Duration::from_secs(8);
/// Pause between two attempts during a change of stewards.
const STEWARD_WAIT_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Attempts that one request has left.
#[derive(Debug)]
pub struct Attempts {
    budget: sync::Arc<retry::Budget>,
    deadline: ids::Timestamp,
    /// Time until which a credit may be waited for.
    wait_until: ids::Timestamp,
    /// Time until which a change of stewards may be waited for.
    steward_wait_until: ids::Timestamp,
    /// Attempts since the last pause that reached no backend server.
    free_attempts: u32,
    last_error: Option<error::Error>,
}

impl Attempts {
    /// Creates the attempts of a new request and deposits its share into the service's budget.
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
            last_error: None,
        }
    }

    /// Returns the time until which a credit may be waited for.
    pub const fn wait_until(&self) -> ids::Timestamp {
        self.wait_until
    }

    /// Decides what follows a failure; returns once another attempt may be made, and of which kind.
    ///
    /// Sleeps first if the failure is due to a change of stewards.
    ///
    /// # Errors
    ///
    /// Returns the error that the request ends with if no attempt follows.
    pub async fn after_failure(
        &mut self,
        cx: &cx::Cx,
        failure: failure::Failure,
    ) -> Result<failure::Next, error::Error> {
        let now = cx.clock.now();
        let may_continue = match failure.next {
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
        if !may_continue {
            return Err(self.final_error(failure.error));
        }
        if failure.next == failure::Next::RetryLater {
            self.free_attempts = 0;
            tokio::time::sleep(STEWARD_WAIT_PAUSE).await;
        }
        self.last_error = Some(failure.error);
        Ok(failure.next)
    }

    /// Returns the error of the attempt before if the last one only found no server left to try.
    fn final_error(&mut self, err: error::Error) -> error::Error {
        if err.kind != error::ErrorKind::NoBackendServer {
            return err;
        }
        self.last_error.take().unwrap_or(err)
    }
}

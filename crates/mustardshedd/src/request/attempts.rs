//! Whether another attempt follows a failed one.

use std::{sync, time};

use mustardshed::core::{error, ids, request::retry};

use crate::request::{cx, failure, job};

/// Attempts in a row that no backend server saw, at most.
const MAX_FREE_ATTEMPTS: u32 = 4;
/// Part of the time left until the deadline for which credits are waited for.
const CREDIT_WAIT_DIVISOR: u32 = 2;
/// Part of the time left until the deadline for which a change of stewards is waited for.
const CHANGE_WAIT_DIVISOR: u32 = 2;
/// Longest wait for a change of stewards.
const MAX_CHANGE_WAIT: time::Duration = time::Duration::from_secs(8);
/// Pause before the next look at a change of stewards.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(150);

/// What one request may still attempt.
#[derive(Debug)]
pub struct Attempts {
    budget: sync::Arc<retry::Budget>,
    deadline: ids::Timestamp,
    /// Time until which credits are waited for.
    wait_until: ids::Timestamp,
    /// Time until which a change of stewards is waited for.
    change_until: ids::Timestamp,
    free: u32,
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
            change_until: now + MAX_CHANGE_WAIT.min(left / CHANGE_WAIT_DIVISOR),
            free: 0,
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
    pub async fn after(
        &mut self,
        cx: &cx::Cx,
        failure: failure::Failure,
    ) -> Result<failure::Next, error::Error> {
        let now = cx.clock.now();
        let goes_on = match failure.next {
            failure::Next::Stop => false,
            failure::Next::Again => {
                self.free += 1;
                self.free < MAX_FREE_ATTEMPTS && now < self.wait_until
            }
            failure::Next::Later => now + CHANGE_PAUSE < self.change_until,
            failure::Next::Retry => {
                let left = self.deadline.saturating_sub(now);
                self.wait_until = now + left / CREDIT_WAIT_DIVISOR;
                self.budget.withdraw()
            }
        };
        if !goes_on {
            return Err(self.final_error(failure.error));
        }
        if failure.next == failure::Next::Later {
            self.free = 0;
            tokio::time::sleep(CHANGE_PAUSE).await;
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

//! At-most-once claims for calls that may not be repeated.
//!
//! Before such a call is sent, its entry creates an object that names the request. The platform's
//! conditional update grants it to one request only. [`ClaimAttempt`] is the state machine for
//! that: it returns a [`Step`], the process carries it out and passes the result back, until the
//! step is [`Step::Done`].
//!
//! - If the response to a write is lost, the object is read: its value names the request that wrote
//!   it.
//! - If it cannot be read, the call is not sent. The object may still appear; the claim is released
//!   later, and until then this entry reports that its request did not run.
//! - A claim is taken over by a conditional update if its live owner reports that its request did
//!   not run. A claim whose owner is gone is read once more and never taken over: its fate is
//!   unknown if none is recorded. If the owner is not gone but does not respond, the caller may
//!   retry later.
//! - Keys are remembered for [`RETENTION`]; an older one counts as new.

use std::time;

use sha2::Digest;

use crate::{
    boundary::{control, platform},
    error, ids, mutation, outcome,
    process::action,
    request::fate,
};

pub mod settlement;
pub mod sweep;
mod value;

pub use settlement::Settlement;
pub use value::{RETENTION, Value, expired};

/// Retries after which an attempt is given up.
const MAX_RETRIES: u32 = 3;
/// Number of hexadecimal digits of the key's digest in an object's name.
const DIGEST_DIGITS: usize = 40;

/// Returns the name of the claim object for a client account's idempotency key.
///
/// ```
/// use mustardshed_core::request::claim;
///
/// let name = claim::object_name("bindery", "order-7");
/// assert_eq!(name.len(), "bindery.".len() + 40);
/// ```
pub fn object_name(account: &str, key: &str) -> String {
    let digest = hex::encode(sha2::Sha256::digest(key.as_bytes()));
    format!("{account}.{}", &digest[..DIGEST_DIGITS])
}

/// The next step of a claim attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the object if its version is `expected`.
    Put {
        /// Expected version; zero if the object must not exist.
        expected: ids::ObjectVersion,
        /// Value.
        value: Box<Value>,
    },
    /// Read the object.
    Get,
    /// Query the fate of the request that holds the claim.
    WantFate {
        /// Request that holds the claim.
        request: ids::RequestId,
    },
    /// The attempt has ended.
    Done(Ended),
}

/// Result of a claim attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The request may send its call, once.
    Granted {
        /// Version of the object, for [`Settlement`].
        version: ids::ObjectVersion,
    },
    /// An earlier request with the same key and body has ended, or its fate is unknown.
    Duplicate(fate::Fate),
    /// The request must not send its call.
    Refused(error::Error),
}

/// An attempt to claim a call.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    req: control::ClaimRequest,
    value: Value,
    deadline: ids::Timestamp,
    /// Version of the object and the request that it names, while the fate of that is queried.
    holder: Option<(ids::ObjectVersion, ids::RequestId)>,
    retries: u32,
    /// Whether the object may name this request although the claim is not granted.
    may_hold_claim: bool,
    /// Request that holds the claim and whose owner is gone or does not know it.
    ownerless: Option<ids::RequestId>,
}

impl ClaimAttempt {
    /// Starts an attempt at `wall_now` since the Unix epoch, for a call with this deadline.
    pub fn begin(
        req: control::ClaimRequest,
        wall_now: time::Duration,
        deadline: ids::Timestamp,
    ) -> (Self, Step) {
        let value = Value {
            request: req.request.clone(),
            body_digest: req.body_digest,
            created_at: wall_now,
            fate: None,
        };
        let claiming = Self {
            req,
            value,
            deadline,
            holder: None,
            retries: 0,
            may_hold_claim: false,
            ownerless: None,
        };
        let step = claiming.put_at(0);
        (claiming, step)
    }

    /// Handles the result of a [`Step::Put`].
    pub fn on_put(
        &mut self,
        result: Result<ids::ObjectVersion, platform::PlatformError>,
        now: ids::Timestamp,
    ) -> Step {
        match result {
            Ok(version) => self.grant(version, now),
            Err(platform::PlatformError::Conflict(_)) => Step::Get,
            Err(platform::PlatformError::Refused(reason)) => self.give_up(&reason),
            Err(platform::PlatformError::Unanswered(reason)) => {
                if mutation::on("lost_answer_is_grant") {
                    return self.grant(0, now);
                }
                self.may_hold_claim = true;
                self.retry(&reason, Step::Get)
            }
        }
    }

    /// Handles the result of a [`Step::Get`].
    pub fn on_get(
        &mut self,
        result: Result<Option<(ids::ObjectVersion, Value)>, platform::PlatformError>,
        now: ids::Timestamp,
    ) -> Step {
        match result {
            Ok(None) => self.retry("the claim does not exist", self.put_at(0)),
            Ok(Some((version, held))) => self.decide_by_value(version, held, now),
            Err(e) => self.retry(&e.to_string(), Step::Get),
        }
    }

    /// Handles the reply to a [`Step::WantFate`].
    pub fn on_fate(&mut self, answer: action::FateAnswer) -> Step {
        let Some((version, request)) = self.holder.take() else {
            return self.give_up("no claim was read");
        };
        match answer {
            action::FateAnswer::Known(fate) => self.decide_by_fate(version, fate),
            action::FateAnswer::Unanswered => Step::Done(Ended::Refused(unanswered())),
            action::FateAnswer::OwnerGone if mutation::on("gone_owner_taken_over") => {
                self.put_at(version)
            }
            action::FateAnswer::OwnerGone if mutation::on("not_looked_at_again") => {
                Step::Done(Ended::Duplicate(self.unknown_fate(request)))
            }
            action::FateAnswer::NoSuchRequest | action::FateAnswer::OwnerGone => {
                self.read_again(request)
            }
        }
    }

    /// Reads the object once more for a request that its owner cannot report on: the owner may have
    /// recorded the fate after the first read, and then exited.
    fn read_again(&mut self, request: ids::RequestId) -> Step {
        self.ownerless = Some(request);
        Step::Get
    }

    /// Returns whether an unused claim may be left behind, to be released by
    /// [`Settlement::release`].
    pub const fn must_release(&self) -> bool {
        self.may_hold_claim
    }

    /// Returns the claim's request.
    pub const fn req(&self) -> &control::ClaimRequest {
        &self.req
    }

    /// Decides by the value of the object.
    fn decide_by_value(
        &mut self,
        version: ids::ObjectVersion,
        held: Value,
        now: ids::Timestamp,
    ) -> Step {
        if held.request == self.value.request {
            return self.grant(version, now);
        }
        if held.is_expired(self.value.created_at) {
            return self.retry("the claim has expired", self.put_at(version));
        }
        if held.body_digest != self.value.body_digest {
            return Step::Done(Ended::Refused(reused()));
        }
        if let Some(fate) = held.fate {
            return self.decide_by_fate(version, fate);
        }
        if self.ownerless.as_ref() == Some(&held.request) {
            return Step::Done(Ended::Duplicate(self.unknown_fate(held.request)));
        }
        self.holder = Some((version, held.request.clone()));
        Step::WantFate {
            request: held.request,
        }
    }

    /// Decides by the fate of the request that holds the claim.
    fn decide_by_fate(&mut self, version: ids::ObjectVersion, fate: fate::Fate) -> Step {
        match fate.outcome {
            outcome::Outcome::NotRun => self.retry(
                "the request that held the claim did not run",
                self.put_at(version),
            ),
            outcome::Outcome::Running => Step::Done(Ended::Refused(in_progress())),
            _ => Step::Done(Ended::Duplicate(fate)),
        }
    }

    /// Grants the claim unless the deadline has passed.
    fn grant(&mut self, version: ids::ObjectVersion, now: ids::Timestamp) -> Step {
        if now >= self.deadline {
            self.may_hold_claim = true;
            return Step::Done(Ended::Refused(error::Error::not_run(
                error::ErrorKind::DeadlineExceeded,
                "the deadline passed while the call was claimed",
            )));
        }
        self.may_hold_claim = false;
        Step::Done(Ended::Granted { version })
    }

    /// Returns `step` as a retry, or gives up for `reason` after [`MAX_RETRIES`] of them.
    fn retry(&mut self, reason: &str, step: Step) -> Step {
        self.retries += 1;
        if self.retries > MAX_RETRIES {
            return self.give_up(reason);
        }
        step
    }

    fn give_up(&self, reason: &str) -> Step {
        Step::Done(Ended::Refused(error::Error::not_run(
            error::ErrorKind::PlatformUnavailable,
            format!("the call could not be claimed: {reason}"),
        )))
    }

    fn put_at(&self, expected: ids::ObjectVersion) -> Step {
        Step::Put {
            expected,
            value: Box::new(self.value.clone()),
        }
    }

    fn unknown_fate(&self, request: ids::RequestId) -> fate::Fate {
        fate::Fate::unknown(request, self.req.account.clone())
    }
}

/// Returns the refusal of a call whose key was used with another body.
fn reused() -> error::Error {
    error::Error::not_run(
        error::ErrorKind::KeyReused,
        "the idempotency key was used before with another body",
    )
}

/// Returns the refusal of a repeat if the owner of the first request does not respond.
fn unanswered() -> error::Error {
    error::Error::unknown(
        error::ErrorKind::KeyInProgress,
        "the entry that handles the request with this idempotency key did not respond",
    )
}

/// Returns the refusal of a repeat if the first request is still running.
fn in_progress() -> error::Error {
    let mut refusal = error::Error::not_run(
        error::ErrorKind::KeyInProgress,
        "a request with this idempotency key is still running",
    );
    refusal.outcome = outcome::Outcome::Running;
    refusal
}

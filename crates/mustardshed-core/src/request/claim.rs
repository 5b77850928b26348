//! The at-most-once claim of a call that may not be repeated.
//!
//! Before such a call is sent, its entry creates an object that names the request. The platform's
//! conditional update grants it to one request only. [`ClaimAttempt`] is the state machine for that:
//! it returns a [`Step`], the process carries it out and hands the result back, until the step is
//! [`Step::Done`].
//!
//! - A lost answer is settled by reading back: the value names the request that wrote it.
//! - If it cannot be read back, the call is not sent. The object may still appear; it is renounced
//!   later, and until then this entry says of its request that it did not run.
//! - A claim whose request did not run, by its live owner's word, is taken over by a conditional
//!   update. A claim whose owner is gone is read once more and never taken over: its fate is
//!   unknown if none is recorded. One whose owner only does not answer may be asked for later.
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

/// Steps that may be repeated before the claim is given up.
const MAX_RETRIES: u32 = 3;
/// Hexadecimal digits of the key's digest in an object's name.
const DIGEST_DIGITS: usize = 40;

/// Returns the name of the object for a client account's key.
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

/// What is to be done next for a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the object if it is at `expected`.
    Put {
        /// Version that it must have; zero if it must not exist.
        expected: ids::ObjectVersion,
        /// Value.
        value: Box<Value>,
    },
    /// Read the object.
    Get,
    /// Ask for the fate of the request that holds the claim.
    WantFate {
        /// That request.
        request: ids::RequestId,
    },
    /// Nothing; this is how it ended.
    Done(Ended),
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The request may send its call, once.
    Granted {
        /// Version of the object, for [`Settlement`].
        version: ids::ObjectVersion,
    },
    /// An earlier request with the same key and body ended, or nobody can tell.
    Duplicate(fate::Fate),
    /// The request must not send its call.
    Refused(error::Error),
}

/// A claim being made.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    req: control::ClaimRequest,
    value: Value,
    deadline: ids::Timestamp,
    /// Version of the object and the request that it names, while the fate of that is asked for.
    holder: Option<(ids::ObjectVersion, ids::RequestId)>,
    retries: u32,
    /// Whether the object may name this request although the claim was not granted.
    is_doubtful: bool,
    /// Request that held the claim and that nobody could be asked for.
    without_owner: Option<ids::RequestId>,
}

impl ClaimAttempt {
    /// Begins a claim at `wall_now` since the Unix epoch, for a call with this deadline.
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
            is_doubtful: false,
            without_owner: None,
        };
        let step = claiming.put_at(0);
        (claiming, step)
    }

    /// Takes the end of a [`Step::Put`].
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
                self.is_doubtful = true;
                self.retry(&reason, Step::Get)
            }
        }
    }

    /// Takes the end of a [`Step::Get`].
    pub fn on_get(
        &mut self,
        result: Result<Option<(ids::ObjectVersion, Value)>, platform::PlatformError>,
        now: ids::Timestamp,
    ) -> Step {
        match result {
            Ok(None) => self.retry("the claim is not there", self.put_at(0)),
            Ok(Some((version, held))) => self.compare(version, held, now),
            Err(e) => self.retry(&e.to_string(), Step::Get),
        }
    }

    /// Takes the answer to a [`Step::WantFate`].
    pub fn on_fate(&mut self, answer: action::FateAnswer) -> Step {
        let Some((version, request)) = self.holder.take() else {
            return self.give_up("no claim was read");
        };
        match answer {
            action::FateAnswer::Known(fate) => self.conclude(version, fate),
            action::FateAnswer::Unanswered => Step::Done(Ended::Refused(unanswered())),
            action::FateAnswer::OwnerGone if mutation::on("gone_owner_taken_over") => {
                self.put_at(version)
            }
            action::FateAnswer::OwnerGone if mutation::on("not_looked_at_again") => {
                Step::Done(Ended::Duplicate(self.unknown(request)))
            }
            action::FateAnswer::NoSuchRequest | action::FateAnswer::OwnerGone => {
                self.look_again(request)
            }
        }
    }

    /// Reads the object once more for a request that nobody can be asked for: its owner may have
    /// recorded the fate after the first look, and ended then.
    fn look_again(&mut self, request: ids::RequestId) -> Step {
        self.without_owner = Some(request);
        Step::Get
    }

    /// Returns whether an unused claim may be left behind, to be given back by
    /// [`Settlement::release`].
    pub const fn must_release(&self) -> bool {
        self.is_doubtful
    }

    /// Returns the claim's request.
    pub const fn req(&self) -> &control::ClaimRequest {
        &self.req
    }

    /// Compares what the object holds with this request's claim.
    fn compare(&mut self, version: ids::ObjectVersion, held: Value, now: ids::Timestamp) -> Step {
        if held.request == self.value.request {
            return self.grant(version, now);
        }
        if held.is_expired(self.value.created_at) {
            return self.retry("the claim is out of date", self.put_at(version));
        }
        if held.body_digest != self.value.body_digest {
            return Step::Done(Ended::Refused(reused()));
        }
        if let Some(fate) = held.fate {
            return self.conclude(version, fate);
        }
        if self.without_owner.as_ref() == Some(&held.request) {
            return Step::Done(Ended::Duplicate(self.unknown(held.request)));
        }
        self.holder = Some((version, held.request.clone()));
        Step::WantFate {
            request: held.request,
        }
    }

    /// Draws the conclusion from the fate of the request that holds the claim.
    fn conclude(&mut self, version: ids::ObjectVersion, fate: fate::Fate) -> Step {
        match fate.outcome {
            outcome::Outcome::NotRun => self.retry("the claim was not used", self.put_at(version)),
            outcome::Outcome::Running => Step::Done(Ended::Refused(in_progress())),
            _ => Step::Done(Ended::Duplicate(fate)),
        }
    }

    /// Grants the claim, unless the deadline has passed.
    fn grant(&mut self, version: ids::ObjectVersion, now: ids::Timestamp) -> Step {
        if now >= self.deadline {
            self.is_doubtful = true;
            return Step::Done(Ended::Refused(error::Error::not_run(
                error::ErrorKind::DeadlineExceeded,
                "the deadline passed while the call was claimed",
            )));
        }
        self.is_doubtful = false;
        Step::Done(Ended::Granted { version })
    }

    /// Returns `step` as a further try, or gives up for `reason` after [`MAX_RETRIES`] of them.
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

    fn unknown(&self, request: ids::RequestId) -> fate::Fate {
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

/// Returns the refusal of a repeat whose first request cannot be asked for at present.
fn unanswered() -> error::Error {
    error::Error::unknown(
        error::ErrorKind::KeyInProgress,
        "the entry that carries the request with this idempotency key did not answer",
    )
}

/// Returns the refusal of a repeat whose first request still runs.
fn in_progress() -> error::Error {
    let mut refusal = error::Error::not_run(
        error::ErrorKind::KeyInProgress,
        "a request with this idempotency key is still running",
    );
    refusal.outcome = outcome::Outcome::Running;
    refusal
}

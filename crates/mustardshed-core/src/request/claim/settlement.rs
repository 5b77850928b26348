//! Settlement of a claim: its final fate is recorded, or it is released unused.

use crate::{boundary::platform, ids, request::fate};

use super::Value;

/// Maximum number of rounds, each of a read and a write, after which a settlement is given up for
/// now.
const MAX_ROUNDS: u32 = 6;

/// The next step of a settlement.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the object if its version is `expected`.
    Put {
        /// Expected version.
        expected: ids::ObjectVersion,
        /// Value.
        value: Box<Value>,
    },
    /// Delete the object if its version is `expected`.
    Delete {
        /// Expected version.
        expected: ids::ObjectVersion,
    },
    /// Read the object.
    Get,
    /// The settlement has ended; `true` if the claim is settled.
    Done(bool),
}

/// A settlement in progress.
#[derive(Clone, Debug)]
pub struct Settlement {
    request: ids::RequestId,
    fate: Option<fate::Fate>,
    rounds: u32,
}

impl Settlement {
    /// Starts to record the final fate of a claim's request.
    pub const fn settle(request: ids::RequestId, fate: fate::Fate) -> (Self, Step) {
        let settling = Self {
            request,
            fate: Some(fate),
            rounds: 1,
        };
        (settling, Step::Get)
    }

    /// Starts to release a claim whose request never sent its call and never will.
    pub const fn release(request: ids::RequestId) -> (Self, Step) {
        let settling = Self {
            request,
            fate: None,
            rounds: 1,
        };
        (settling, Step::Get)
    }

    /// Handles the result of a [`Step::Get`].
    pub fn on_get(
        &mut self,
        result: Result<Option<(ids::ObjectVersion, Value)>, platform::PlatformError>,
    ) -> Step {
        let (version, held) = match result {
            // A refused read is not retried at once; a later settlement may try again.
            Err(platform::PlatformError::Refused(_)) => return Step::Done(false),
            Err(_) => return self.retry(),
            Ok(None) => return Step::Done(self.fate.is_none()),
            Ok(Some(found)) => found,
        };
        if held.request != self.request {
            return Step::Done(self.fate.is_none());
        }
        if held.fate.is_some() {
            return Step::Done(held.fate == self.fate);
        }
        match &self.fate {
            None => Step::Delete { expected: version },
            Some(fate) => Step::Put {
                expected: version,
                value: Box::new(Value {
                    fate: Some(fate.clone()),
                    ..held
                }),
            },
        }
    }

    /// Handles the result of a [`Step::Put`] or a [`Step::Delete`].
    ///
    /// After a conflict or a lost response, the object is read again.
    pub fn on_write(&mut self, result: Result<(), platform::PlatformError>) -> Step {
        match result {
            Ok(()) => Step::Done(true),
            Err(platform::PlatformError::Refused(_)) => Step::Done(false),
            Err(_) => self.retry(),
        }
    }

    /// Reads the object again, unless there were [`MAX_ROUNDS`] rounds.
    const fn retry(&mut self) -> Step {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            return Step::Done(false);
        }
        Step::Get
    }
}

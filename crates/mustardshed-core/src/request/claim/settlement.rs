//! The end of a claim: its final fate is recorded, or it is given back unused.

use crate::{boundary::platform, ids, request::fate};

use super::Value;

/// Greatest number of rounds, of a read and a write each, before the end of a claim is given up for
/// now.
const MAX_ROUNDS: u32 = 6;

/// What is to be done next for the end of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write the object if it is at `expected`.
    Put {
        /// Version that it must have.
        expected: ids::ObjectVersion,
        /// Value.
        value: Box<Value>,
    },
    /// Delete the object if it is at `expected`.
    Delete {
        /// Version that it must have.
        expected: ids::ObjectVersion,
    },
    /// Read the object.
    Get,
    /// Nothing; tells whether the end is recorded.
    Done(bool),
}

/// The end of a claim being recorded.
#[derive(Clone, Debug)]
pub struct Settlement {
    request: ids::RequestId,
    fate: Option<fate::Fate>,
    rounds: u32,
}

impl Settlement {
    /// Begins to record the final fate of a claim's request.
    pub const fn settle(request: ids::RequestId, fate: fate::Fate) -> (Self, Step) {
        let settling = Self {
            request,
            fate: Some(fate),
            rounds: 1,
        };
        (settling, Step::Get)
    }

    /// Begins to give back a claim whose request never sent its call and never will.
    pub const fn release(request: ids::RequestId) -> (Self, Step) {
        let settling = Self {
            request,
            fate: None,
            rounds: 1,
        };
        (settling, Step::Get)
    }

    /// Takes the end of a [`Step::Get`].
    pub fn on_get(
        &mut self,
        result: Result<Option<(ids::ObjectVersion, Value)>, platform::PlatformError>,
    ) -> Step {
        let (version, held) = match result {
            // A platform that refuses is asked again by a later attempt, not at once.
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

    /// Takes the end of a [`Step::Put`] or a [`Step::Delete`]; anything but success is read back.
    pub fn on_write(&mut self, result: Result<(), platform::PlatformError>) -> Step {
        match result {
            Ok(()) => Step::Done(true),
            Err(platform::PlatformError::Refused(_)) => Step::Done(false),
            Err(_) => self.retry(),
        }
    }

    /// Reads the object again, unless [`MAX_ROUNDS`] were made.
    const fn retry(&mut self) -> Step {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            return Step::Done(false);
        }
        Step::Get
    }
}

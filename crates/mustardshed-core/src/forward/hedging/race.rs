//! What follows when one of two attempts ends.

/// Attempt of a request that may have two at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The first attempt.
    First,
    /// The second attempt, sent while the first continues.
    Second,
}

impl Attempt {
    /// Returns the name under which it is counted.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Second => "second",
        }
    }
}

/// What follows when an attempt has no response that may be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// The other attempt continues.
    Wait,
    /// No attempt is left: the failure is handled like that of a single attempt.
    Fail,
}

/// The attempts of one request that run at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Race {
    first: bool,
    second: bool,
    is_decided: bool,
}

impl Default for Race {
    fn default() -> Self {
        Self {
            first: true,
            second: false,
            is_decided: false,
        }
    }
}

impl Race {
    /// Records whether a second attempt is sent, which is decided once.
    pub const fn decide(&mut self, is_sent: bool) {
        self.is_decided = true;
        self.second = is_sent;
    }

    /// Returns whether it is yet to be decided if a second attempt is sent.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.first && !self.is_decided
    }

    /// Records that an attempt failed: with an error response, without a response, or with a proof
    /// that it has not run.
    pub const fn end(&mut self, attempt: Attempt) -> Next {
        self.stop(attempt);
        if self.first || self.second {
            Next::Wait
        } else {
            Next::Fail
        }
    }

    /// Records that the response of an attempt is passed on; returns the other attempt if it still
    /// runs, which is cancelled.
    pub const fn cancel(&mut self, won: Attempt) -> Option<Attempt> {
        self.stop(won);
        match (self.first, self.second) {
            (true, _) => Some(Attempt::First),
            (_, true) => Some(Attempt::Second),
            _ => None,
        }
    }

    const fn stop(&mut self, attempt: Attempt) {
        match attempt {
            Attempt::First => self.first = false,
            Attempt::Second => self.second = false,
        }
    }
}

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

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// With a response that may be passed on, or the first event of a stream.
    Answered,
    /// With an error response, without a response, or with a proof that it has not run.
    Failed,
}

/// What follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Its response is passed on; another attempt that runs is cancelled.
    PassOn,
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

    /// Records the end of an attempt.
    pub const fn end(&mut self, attempt: Attempt, ended: Ended) -> Next {
        match attempt {
            Attempt::First => self.first = false,
            Attempt::Second => self.second = false,
        }
        match ended {
            Ended::Answered => Next::PassOn,
            Ended::Failed if self.first || self.second => Next::Wait,
            Ended::Failed => Next::Fail,
        }
    }
}

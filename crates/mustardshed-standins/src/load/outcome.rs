//! Outcome of a request as its caller sees it.

/// Outcome of a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The response is complete and correct.
    Completed,
    /// The response differs from the oracle's.
    Wrong,
    /// The response was cut off without an error.
    Cut,
    /// An error response stated the outcome.
    Told {
        /// Outcome as stated by the error.
        outcome: String,
        /// Code of the error.
        code: String,
    },
    /// No connection could be made.
    NoConnection,
    /// There was still no outcome long after the deadline.
    NeverTold,
    /// The load generator had too many open requests to send it.
    NotSent,
}

impl Outcome {
    /// Returns the name in reports.
    pub fn name(&self) -> String {
        match self {
            Self::Completed => String::from("completed"),
            Self::Wrong => String::from("wrong"),
            Self::Cut => String::from("cut"),
            Self::Told { outcome, code } => format!("{outcome}: {code}"),
            Self::NoConnection => String::from("no connection"),
            Self::NeverTold => String::from("never told"),
            Self::NotSent => String::from("not sent"),
        }
    }

    /// Returns whether it is a refusal that guarantees that nothing ran.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Told { outcome, .. } if outcome == "not_run")
    }
}

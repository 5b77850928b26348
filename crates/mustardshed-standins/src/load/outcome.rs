//! What became of a request as its caller sees it.

/// What became of a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The answer is whole and its own.
    Completed,
    /// The answer differs from the oracle's.
    Wrong,
    /// The answer broke off without saying why.
    Cut,
    /// An error told the outcome.
    Told {
        /// Outcome as the error names it.
        outcome: String,
        /// Code of the error.
        code: String,
    },
    /// No connection was made.
    NoConnection,
    /// Nothing was told long after the deadline.
    NeverTold,
    /// The load program had too many requests open.
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

    /// Returns whether it is a refusal that says that nothing ran.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Told { outcome, .. } if outcome == "not_run")
    }
}

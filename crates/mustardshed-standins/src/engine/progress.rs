//! Progress of one request as its streams see it.

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// All tokens were given.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// The engine lost it.
    Broken,
}

impl End {
    /// Returns the name used in records.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Cancelled => "cancelled",
            Self::Broken => "broken",
        }
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Index after the last output token that exists.
    pub produced: u64,
    /// Whether its prompt is prefilled on this engine.
    pub prefilled: bool,
    /// How it ended, once it has.
    pub end: Option<End>,
}

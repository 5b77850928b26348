//! Progress of one request, as its output streams read it.

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// All tokens were generated.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// The engine lost it, for example in a crash.
    Broken,
}

impl End {
    /// Returns the name of the outcome in records.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Cancelled => "cancelled",
            Self::Broken => "broken",
        }
    }
}

/// How far a request has progressed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Index after the last output token that exists.
    pub produced: u64,
    /// Whether its prompt is prefilled on this engine.
    pub prefilled: bool,
    /// How it ended; `None` while it runs.
    pub end: Option<End>,
}

//! What the demo does as a caller: it sends requests through entries and checks every answer.

pub mod check;
pub mod decisions;
pub mod prompt;

//! What the demo does as a caller: it sends requests through entries and checks every answer.

pub mod caller;
pub mod charge;
pub mod check;
pub mod completion;
pub mod decisions;
pub mod event_stream;
pub mod fate;
pub mod prompt;

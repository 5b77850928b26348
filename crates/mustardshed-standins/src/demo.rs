//! The demo's caller: it sends requests through entries and checks every response.

pub mod check;
pub mod decisions;
pub mod prompt;

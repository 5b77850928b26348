//! Laid out in ARCHITECTURE.

pub mod engine;
pub mod oracle;

//! Fakes of what an entry depends on, and an entry that uses them.

pub mod clock;
pub mod control;
pub mod entry;
pub mod operator;
pub mod platform;
pub mod servers;

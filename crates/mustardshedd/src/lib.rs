//! Entry daemon of mustardshed.

pub mod connection;
pub mod process;

//! Entry daemon of mustardshed.

pub mod connection;

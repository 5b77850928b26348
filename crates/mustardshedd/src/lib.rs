//! Entry daemon of mustardshed as a library.
//!
//! Modules are organized by lifetime: [`request`] holds the state of one request, [`connection`]
//! that of one connection, [`process`] that of the whole process; [`http`] is the listener for
//! callers and operators, and [`log`] the numbered events and metrics.

pub mod connection;
pub mod forward;
pub mod http;
pub mod log;
pub mod process;
pub mod request;

//! Entry daemon of mustardshed as a library.
//!
//! Modules are laid out by life span: [`request`] for what lives as long as one request,
//! [`connection`] for one connection, [`process`] for the whole process; [`http`] is the listener
//! for callers and operators, and [`log`] the numbered events and metrics.

pub mod connection;
pub mod forward;
pub mod http;
pub mod log;
pub mod process;
pub mod request;

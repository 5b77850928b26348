//! Traits behind which the outside stands: platform, backend servers, peers, clock.
//!
//! The daemon implements them over HTTP and WebSocket; tests put small fakes here.

pub mod backend_server;
pub mod clock;
pub mod control;
pub mod platform;

//! Traits for what lies outside the decision core: platform, backend servers, control, clock.
//!
//! The daemon implements them over HTTP and WebSocket; tests put small fakes here.

pub mod backend_server;
pub mod clock;
pub mod control;
pub mod platform;

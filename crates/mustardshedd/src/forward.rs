//! Forwarding of requests that are not understood: routes, accounts, placement, streams.
//!
//! Laid out by life span: [`exchange`] for one request, [`upstream`] for one connection to a
//! backend server, [`view`] for what the platform holds, and the rest for the process. The control
//! thread follows the platform and the peers; the traffic thread carries requests. Both share
//! [`cx::Cx`], whose lock is held for microseconds only.

pub mod cx;
pub mod exchange;
pub mod follow;
pub mod front;
pub mod job;
pub mod link;
pub mod metrics;
pub mod peers;
pub mod refusal;
pub mod reports;
pub mod reservation;
pub mod service;
pub mod upstream;
pub mod view;

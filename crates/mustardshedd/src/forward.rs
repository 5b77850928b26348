//! Forwarding of requests whose content the entry does not interpret: routes, accounts, placement,
//! streams.
//!
//! Modules are organised by lifetime: [`exchange`] covers one request, [`upstream`] one connection
//! to a backend server ([`dial`] opens it, if need be through a peer by a [`tunnel`]), [`view`] the platform state as last read; the others live as long as the
//! process. The control thread watches the platform and the peers; the traffic thread carries
//! requests. Both share [`cx::Cx`], whose lock is held for microseconds only.

pub mod clients;
pub mod cx;
pub mod dial;
pub mod exchange;
pub mod invalid_response;
pub mod job;
pub mod link;
pub mod listeners;
pub mod memory;
pub mod metrics;
pub mod peers;
pub mod reflector;
pub mod refusal;
pub mod reports;
pub mod reservation;
pub mod service;
pub mod tunnel;
pub mod upstream;
pub mod view;

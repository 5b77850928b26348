//! State and tasks of the whole process: clock, control thread, links to peers, pollers.

pub mod claims;
pub mod clock;
pub mod control;
pub mod gauges;
pub mod handshake;
pub mod inbound;
pub mod links;
pub mod operator;
pub mod pending;
pub mod placement;
pub mod pollers;
pub mod service;
pub mod signals;
pub mod startup;

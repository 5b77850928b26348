//! State and decisions that live as long as an entry process.

pub mod action;
pub mod busy;
pub mod cluster;
pub mod credits;
pub mod drain;
pub mod entry_weights;
pub mod event;
pub mod fates;
pub mod gossip;
pub mod holder;
pub mod latencies;
pub mod limits;
pub mod links;
pub mod members;
pub mod message;
pub mod node;
pub mod placement;
pub mod queue;
pub mod quorum;
pub mod ramp;
pub mod reaper;
pub mod servers;
pub mod snapshot;
pub mod steward;
pub mod stewards;
pub mod topology;

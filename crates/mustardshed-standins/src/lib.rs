//! Stand-ins for the platform, model engines and plain services.
//!
//! Each program is a cargo example and one process; `docs/STANDINS.md` describes
//! what it answers and which faults can be switched on while it runs.

pub mod caller;
pub mod capacity;
pub mod delay;
pub mod demo;
pub mod engine;
pub mod entry_cost;
pub mod experiment;
pub mod fleet;
pub mod hostile;
pub mod http;
pub mod json_client;
pub mod load;
pub mod oracle;
pub mod platform;
pub mod service;
pub mod storm;
pub mod unix_time;

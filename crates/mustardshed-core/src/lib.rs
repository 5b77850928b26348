//! Sans-I/O decision core of mustardshed.
//!
//! Every decision is a plain state machine: it takes an event and the current
//! [`ids::Timestamp`] and returns actions. Nothing here opens a socket, reads a
//! clock or uses a global random number generator.
//!
//! Modules are grouped by the lifetime of their state: [`request`] for one
//! request, [`version`] for one generation of the configuration, [`process`] for
//! one entry process. [`boundary`] holds the traits through which the platform,
//! backend servers, the control thread and the clock are reached.

pub mod boundary;
pub mod error;
pub mod forward;
pub mod ids;
pub mod mutation;
pub mod outcome;
pub mod process;
pub mod request;
pub mod version;

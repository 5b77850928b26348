//! Sans-I/O decision core of mustardshed.
//!
//! Every decision is a plain state machine: it takes an event and the present
//! [`ids::Timestamp`] and returns actions. Nothing here opens a socket, reads a
//! clock or draws from a global random number generator.
//!
//! Modules are laid out by life span: [`request`] for what lives as long as one
//! request, [`version`] for one generation of the configuration, [`process`] for
//! the life of an entry process. [`boundary`] holds the traits behind which the
//! platform, backend servers, peers and the clock stand.

pub mod boundary;
pub mod error;
pub mod forward;
pub mod ids;
pub mod mutation;
pub mod outcome;
pub mod process;
pub mod request;
pub mod version;

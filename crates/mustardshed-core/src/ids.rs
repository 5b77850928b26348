//! Type aliases for identifiers and quantities used by all packages.

use std::time;

/// Name of a backend server (a runner with its engine, or a plain service).
pub type BackendServerId = String;
/// Name of a client account.
pub type ClientAccountId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a model.
pub type ModelId = String;
/// Name of a service.
pub type ServiceId = String;
/// Name of an entry VM.
pub type VmId = String;

/// Identifier of one admitted request: `VM.INCARNATION.SEQUENCE[.CLAIM]`.
pub type RequestId = String;

/// Number of an accepted configuration; it only grows.
pub type Generation = u64;
/// Number that tells one run of a process from the next on the same VM.
pub type Incarnation = u64;
/// Fencing number of a lease holder; a later holder has a greater one.
pub type FencingNumber = u64;
/// Number of a backend server's warm period; it changes when the server turns cold.
pub type Epoch = u64;
/// Version of a platform object; zero stands for an object that does not exist.
pub type ObjectVersion = u64;
/// Share of an entry's places for requests that are taken, in tenths.
pub type BusyLevel = u8;
/// Amount of prompt, output or KV memory in tokens.
pub type Tokens = u64;

/// Time since an arbitrary start on a clock that also counts suspension.
pub type Timestamp = time::Duration;

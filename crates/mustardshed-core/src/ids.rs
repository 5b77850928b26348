//! Type aliases for identifiers and quantities used by all packages.

use std::time;

/// Name of a backend server (a VM with a model engine or a plain service).
pub type BackendServerId = String;
/// Name of a client account.
pub type ClientAccountId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a model.
pub type ModelId = String;
/// Identifier of a part of a prompt that several requests may share.
pub type PromptPartId = String;
/// Name of a service.
pub type ServiceId = String;
/// Name of an entry VM.
pub type VmId = String;

/// Identifier of one admitted request: `VM.INCARNATION.SEQUENCE[.CLAIM]`.
pub type RequestId = String;

/// Number of an accepted configuration; it only increases.
pub type Generation = u64;
/// Number that distinguishes successive runs of the process on one VM.
pub type Incarnation = u64;
/// Fencing number of a lease holder; a later holder has a greater one.
pub type FencingNumber = u64;
/// Number of a backend server's warm period; it changes when the server turns cold.
pub type Epoch = u64;
/// Version of a platform object; zero stands for an object that does not exist.
pub type ObjectVersion = u64;
/// Share of an entry's maximum requests in flight that is in use, in tenths.
pub type BusyLevel = u8;
/// Length of a prompt or an output, or amount of KV memory, in tokens.
pub type Tokens = u64;

/// Time since an arbitrary start, on a clock that keeps running while the system is suspended.
pub type Timestamp = time::Duration;

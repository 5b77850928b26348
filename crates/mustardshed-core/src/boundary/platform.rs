//! The platform border: the object API, its watches and its list of VMs.

use std::{fmt, time};

use async_trait::async_trait;
use displaydoc::Display;

use crate::ids;

/// Kind of a platform object.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ObjectKind {
    /// The configuration in force; one object named `current`.
    Configuration,
    /// Earlier configurations, named by generation.
    History,
    /// At-most-once claims, named by account and key digest.
    Claim,
    /// Leases, named by role.
    Lease,
}

impl ObjectKind {
    /// Returns the name of this kind in the platform's paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::History => "history",
            Self::Claim => "claim",
            Self::Lease => "lease",
        }
    }
}

/// Why a call on the platform is made; calls are counted by it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Reading, watching or writing the configuration.
    Configuration,
    /// Claims of non-idempotent calls.
    Claim,
    /// Deletion of claims that are out of date.
    ClaimSweep,
    /// Leases of singleton roles.
    Lease,
    /// The list of live and leaving VMs.
    Members,
    /// Data centres that are out of service.
    Outages,
    /// Backend servers.
    Servers,
}

impl Purpose {
    /// Returns the name under which calls are counted.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Claim => "claim",
            Self::ClaimSweep => "claim_sweep",
            Self::Lease => "lease",
            Self::Members => "members",
            Self::Outages => "outages",
            Self::Servers => "servers",
        }
    }
}

/// A stored object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Version; it grows with every write of any object.
    pub version: ids::ObjectVersion,
    /// Content, at most a megabyte.
    pub value: Vec<u8>,
}

/// Whether a listed VM stays or leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// The VM is live.
    Live,
    /// The VM is about to be taken away.
    Leaving,
}

/// What runs on a listed VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmRole {
    /// An entry process of this system.
    Entry,
    /// A backend server of the named engine kind or plain service.
    BackendServer {
        /// Name of the engine kind or of the plain service in the operators' text.
        kind: String,
    },
}

/// An item of the platform's list of VMs; the list lags.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Name of the VM.
    pub id: ids::VmId,
    /// What runs there.
    pub role: VmRole,
    /// `IP:PORT` towards callers (entries) or towards the system (backend servers).
    pub address: String,
    /// `IP:PORT` towards peers; empty for backend servers.
    pub peer_address: String,
    /// Data centre in which the VM stands.
    pub data_centre: ids::DataCentreId,
    /// Whether it stays.
    pub state: VmState,
}

/// Failure of a call on the platform.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PlatformError {
    /// the object is at version {0}, not at the expected one
    Conflict(ids::ObjectVersion),
    /// the platform answered before the call could take effect: {0}
    Refused(String),
    /// no answer; the call may have taken effect: {0}
    Unanswered(String),
}

impl std::error::Error for PlatformError {}

/// The platform's object API.
#[async_trait]
pub trait Platform: fmt::Debug + Send + Sync {
    /// Reads an object; `None` if there is none of that name.
    async fn get(
        &self,
        purpose: Purpose,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<Object>, PlatformError>;

    /// Writes an object if it is at `expected` (zero: if it does not exist), and returns its new version.
    async fn put(
        &self,
        purpose: Purpose,
        kind: ObjectKind,
        name: &str,
        expected: ids::ObjectVersion,
        value: Vec<u8>,
    ) -> Result<ids::ObjectVersion, PlatformError>;

    /// Deletes an object if it is at `expected`.
    async fn delete(
        &self,
        purpose: Purpose,
        kind: ObjectKind,
        name: &str,
        expected: ids::ObjectVersion,
    ) -> Result<(), PlatformError>;

    /// Lists the objects of a kind whose names start with `prefix`.
    async fn list(
        &self,
        purpose: Purpose,
        kind: ObjectKind,
        prefix: &str,
    ) -> Result<Vec<Object>, PlatformError>;

    /// Waits until the named object is newer than `since` or `patience` is over; returns the object as it then is.
    async fn watch(
        &self,
        purpose: Purpose,
        kind: ObjectKind,
        name: &str,
        since: ids::ObjectVersion,
        timeout: time::Duration,
    ) -> Result<Option<Object>, PlatformError>;

    /// Returns the list of live and leaving VMs.
    async fn vms(&self) -> Result<Vec<Vm>, PlatformError>;
}

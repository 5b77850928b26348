//! Interface to the platform: its object API with watches, and its list of VMs.

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
    /// Returns the name of this kind in the platform's URL paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::History => "history",
            Self::Claim => "claim",
            Self::Lease => "lease",
        }
    }
}

/// Purpose of a platform call; calls are counted by purpose.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Reading, watching or writing the configuration.
    Configuration,
    /// Claims of non-idempotent calls.
    Claim,
    /// Deletion of expired claims.
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
    /// Version; it increases with every write of any object.
    pub version: ids::ObjectVersion,
    /// Content, at most a megabyte.
    pub value: Vec<u8>,
}

/// Whether a listed VM is live or leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// The VM is live.
    Live,
    /// The VM is about to be removed.
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

/// An item of the platform's list of VMs, which lags behind changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Name of the VM.
    pub id: ids::VmId,
    /// What runs there.
    pub role: VmRole,
    /// `IP:PORT` for callers (entries) or for entries (backend servers).
    pub address: String,
    /// `IP:PORT` for peers; empty for backend servers.
    pub peer_address: String,
    /// Data centre of the VM.
    pub data_centre: ids::DataCentreId,
    /// Whether the VM is live or leaving.
    pub state: VmState,
}

/// Failure of a platform call.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PlatformError {
    /// the object is at version {0}, not at the expected one
    Conflict(ids::ObjectVersion),
    /// the platform rejected the call, which had no effect: {0}
    Refused(String),
    /// no valid response from the platform; the call may have taken effect: {0}
    Unanswered(String),
}

impl std::error::Error for PlatformError {}

/// Client for the platform's object API and its list of VMs.
///
/// Every method fails with a [`PlatformError`], which tells whether the call may have taken effect.
#[async_trait]
pub trait Platform: fmt::Debug + Send + Sync {
    /// Reads an object; returns `None` if there is none of that name.
    async fn get(
        &self,
        purpose: Purpose,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<Object>, PlatformError>;

    /// Writes an object if its version is `expected` (zero: if it does not exist), and returns its
    /// new version.
    async fn put(
        &self,
        purpose: Purpose,
        kind: ObjectKind,
        name: &str,
        expected: ids::ObjectVersion,
        value: Vec<u8>,
    ) -> Result<ids::ObjectVersion, PlatformError>;

    /// Deletes an object if its version is `expected`.
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

    /// Waits until the version of the named object is greater than `since` or `timeout` has passed,
    /// and returns the object as it then is.
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

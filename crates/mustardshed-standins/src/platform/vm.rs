//! An item of the list of VMs.

use std::net;

use serde::{Deserialize, Serialize};

use crate::platform::name;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// An entry process.
    Entry,
    /// A model engine or a plain service.
    BackendServer,
}

/// Whether a VM is kept or about to be removed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It is kept.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// A listed VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name.
    pub id: String,
    /// What runs there.
    pub role: VmRole,
    /// Engine kind or plain service; empty for an entry.
    #[serde(default)]
    pub kind: String,
    /// `IP:PORT` for callers (entry) or for entries (backend server).
    pub address: String,
    /// `IP:PORT` for peers; empty for a backend server.
    #[serde(default)]
    pub peer_address: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Whether it is kept or about to be removed.
    pub state: VmState,
}

impl Vm {
    /// Checks the item that is to be listed as `id`.
    ///
    /// # Errors
    ///
    /// Returns a reason if a name, an address or the role's own field is wrong.
    pub fn check(&self, id: &str) -> Result<(), String> {
        if self.id != id {
            return Err(format!(
                "the item's id {:?} differs from the path's {id:?}",
                self.id
            ));
        }
        name::check(&self.id)?;
        name::check(&self.data_centre).map_err(|e| format!("data_centre: {e}"))?;
        check_address("address", &self.address)?;
        match self.role {
            VmRole::Entry => check_address("peer_address", &self.peer_address),
            VmRole::BackendServer => name::check(&self.kind).map_err(|e| format!("kind: {e}")),
        }
    }
}

fn check_address(field: &str, value: &str) -> Result<(), String> {
    match value.parse::<net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(format!("{field} {value:?} is not IP:PORT")),
    }
}

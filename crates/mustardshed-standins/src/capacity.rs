//! Cost of the control plane of many entries, measured in one process on virtual time.
//!
//! Every entry is a real [`node::Node`]; every message between them is encoded and decoded as on a
//! link. Bytes and CPU time are therefore those of the control thread without its sockets.

use std::{collections, time};

use mustardshed::core::{
    boundary::{backend_server, platform},
    ids,
    process::node,
    version::record,
};

pub mod breakdown;
pub mod cost;
pub mod world;

/// Size and load of the measured fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Number of entries.
    pub entries: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Requests per second at each entry.
    pub requests_per_second: f64,
    /// Virtual time of the measurement.
    pub duration: time::Duration,
}

impl Size {
    /// Returns the name of a data centre by index.
    pub fn data_centre(&self, i: usize) -> ids::DataCentreId {
        format!("dc-{}", i % self.data_centres.max(1))
    }

    /// Returns the identity of the entry with this index.
    pub fn identity(&self, i: usize) -> node::Identity {
        node::Identity {
            vm: entry_name(i),
            incarnation: 1_764_800_000_000,
            data_centre: self.data_centre(i),
            address: format!("10.1.{}.{}:8080", i / 256, i % 256),
            peer_address: format!("10.1.{}.{}:8081", i / 256, i % 256),
        }
    }

    /// Returns the platform's list.
    pub fn vms(&self) -> Vec<platform::Vm> {
        let entries = (0..self.entries).map(|i| {
            let identity = self.identity(i);
            platform::Vm {
                id: identity.vm,
                role: platform::VmRole::Entry,
                address: identity.address,
                peer_address: identity.peer_address,
                data_centre: identity.data_centre,
                state: platform::VmState::Live,
            }
        });
        let servers = (0..self.servers).map(|i| platform::Vm {
            id: server_name(i),
            role: platform::VmRole::BackendServer {
                kind: "drafting".to_owned(),
            },
            address: format!("10.2.{}.{}:9000", i / 256, i % 256),
            peer_address: String::new(),
            data_centre: self.data_centre(i),
            state: platform::VmState::Live,
        });
        entries.chain(servers).collect()
    }
}

/// Returns the name of an entry by index.
pub fn entry_name(i: usize) -> ids::VmId {
    format!("entry-{i:04}")
}

/// Returns the name of a backend server by index.
pub fn server_name(i: usize) -> ids::BackendServerId {
    format!("runner-{i:04}")
}

/// Returns an accepted configuration with one model and one account.
pub fn configuration(data_centres: usize) -> record::Record {
    let mut text = String::new();
    for i in 0..data_centres {
        text += &format!(
            "[[data_centre]]\nname = \"dc-{i}\"\nregion = \"r-{}\"\n",
            i / 2
        );
    }
    text += "[[engine_kind]]\nname = \"drafting\"\nmemory_tokens = 400000\nmax_running = 64\n\
             cold_limit = 2\nwarm_after = 4\nprefill_tokens_per_second = 40000\n\
             fencing = \"checked\"\n[[model]]\nname = \"psalter\"\nengine_kind = \"drafting\"\n\
             version = \"1\"\ncontext_tokens = 1048576\n[[service]]\nname = \"drafts\"\n\
             model = \"psalter\"\n[[client_account]]\nname = \"st-marks\"\nkey_sha256 = \
             [\"0000000000000000000000000000000000000000000000000000000000000001\"]\n";
    record::Record {
        generation: 1,
        text,
        data_centres_out: collections::BTreeSet::new(),
        nonce: "0".to_owned(),
        author: "capacity".to_owned(),
    }
}

/// Returns the load report of a busy warm engine.
pub fn report(running: u32) -> backend_server::LoadReport {
    backend_server::LoadReport {
        epoch: 1,
        warmth: backend_server::Warmth::Warm,
        leaving: false,
        age: time::Duration::from_millis(100),
        memory_tokens: 400_000,
        used_tokens: u64::from(running) * 4_000,
        queued_prefill_tokens: u64::from(running) * 500,
        running,
        models: [("psalter".to_owned(), "1".to_owned())].into(),
        held: Vec::new(),
    }
}

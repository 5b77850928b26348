//! Content of the lease object.

use crate::{boundary::backend_server, ids};

/// A weight load that a lease holder may have ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightLoad {
    /// Backend server.
    pub server: ids::BackendServerId,
    /// Order that starts it.
    pub order: backend_server::Order,
}

/// Content of the lease object.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Record {
    /// `VM.INCARNATION` of the holder; empty before the first holder.
    pub holder: String,
    /// Fencing number of the holder.
    pub fence: ids::FencingNumber,
    /// Nonce of the write, unique among the writes of its holder.
    pub nonce: u64,
    /// Loads that may be in progress, including those about to be ordered.
    pub loads: Vec<WeightLoad>,
}

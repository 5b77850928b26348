//! Content of the lease object.

use crate::{boundary::backend_server, ids};

/// A weight load that a holder may have ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightLoad {
    /// Backend server.
    pub server: ids::BackendServerId,
    /// Order that begins it.
    pub order: backend_server::Order,
}

/// Content of the lease object.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Record {
    /// `VM.INCARNATION` of the holder; empty before the first.
    pub holder: String,
    /// Fencing number of the holder.
    pub fence: ids::FencingNumber,
    /// Number of the write among those of its holder.
    pub nonce: u64,
    /// Loads that may be under way, those about to be ordered among them.
    pub loads: Vec<WeightLoad>,
}

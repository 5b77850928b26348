//! Operators' calls, passed to the control thread.

use std::{collections, sync};

use async_trait::async_trait;
use mustardshed::{
    core::{boundary::control as boundary, error, ids, version::record},
    platform::client,
};
use sha2::Digest;
use subtle::ConstantTimeEq;

use crate::{http::operator, process::control};

/// Handler of operators' calls on this entry.
#[derive(Debug)]
pub struct Operator {
    control: sync::Arc<control::Handle>,
    platform: sync::Arc<client::Client>,
    key_digest: [u8; 32],
}

impl Operator {
    /// Creates the handler; `key_digest` is the SHA-256 digest of the operators' key.
    pub const fn new(
        control: sync::Arc<control::Handle>,
        platform: sync::Arc<client::Client>,
        key_digest: [u8; 32],
    ) -> Self {
        Self {
            control,
            platform,
            key_digest,
        }
    }

    fn acknowledgement(&self, generation: ids::Generation) -> Vec<u8> {
        let vm = &boundary::Control::snapshot(self.control.as_ref()).vm;
        let body = serde_json::json!({ "vm": vm, "generation": generation });
        body.to_string().into_bytes()
    }
}

#[async_trait]
impl operator::Operator for Operator {
    async fn intent(&self, record: record::Record) -> Result<Vec<u8>, error::Error> {
        let generation = self.control.intent(record).await?;
        Ok(self.acknowledgement(generation))
    }

    async fn commit(&self, record: record::Record) -> Result<Vec<u8>, error::Error> {
        let generation = self.control.commit(record).await?;
        Ok(self.acknowledgement(generation))
    }

    fn platform_calls(&self) -> collections::BTreeMap<String, u64> {
        let calls = self.platform.calls();
        [
            ("configuration", calls.configuration),
            ("claim", calls.claim),
            ("claim_sweep", calls.claim_sweep),
            ("lease", calls.lease),
            ("members", calls.members),
        ]
        .map(|(purpose, count)| (purpose.to_owned(), count))
        .into()
    }

    fn bytes(&self) -> collections::BTreeMap<String, u64> {
        let peers = self.control.peer_bytes();
        let platform = self.platform.bytes();
        [
            ("peers_sent", peers.sent),
            ("peers_received", peers.received),
            ("platform_sent", platform.sent),
            ("platform_received", platform.received),
        ]
        .map(|(name, bytes)| (name.to_owned(), bytes))
        .into()
    }

    fn is_operator_key(&self, key: &[u8]) -> bool {
        let digest: [u8; 32] = sha2::Sha256::digest(key).into();
        bool::from(digest.ct_eq(&self.key_digest))
    }
}

//! The handle by which traffic threads reach the control thread.

use std::{
    sync::{self, atomic},
    time,
};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use mustardshed::core::{
    border::{control, platform},
    error, ids,
    process::{action, snapshot},
    request::fate,
    version::record,
};
use tokio::sync::{mpsc, oneshot};

use super::{Command, Parts};

/// Longest wait for the control thread beyond what was asked of it.
const CONTROL_PATIENCE: time::Duration = time::Duration::from_secs(2);

/// Running control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    prefix: sync::Arc<str>,
    next_sequence: sync::Arc<atomic::AtomicU64>,
    published: sync::Arc<ArcSwap<snapshot::Snapshot>>,
    commands_tx: mpsc::UnboundedSender<Command>,
    platform: sync::Arc<dyn platform::Platform>,
    clock: sync::Arc<dyn mustardshed::core::border::clock::Clock>,
}

impl Handle {
    pub(super) fn new(
        parts: &Parts,
        published: sync::Arc<ArcSwap<snapshot::Snapshot>>,
        commands_tx: mpsc::UnboundedSender<Command>,
    ) -> Self {
        let identity = &parts.identity;
        Self {
            prefix: format!("{}.{}", identity.vm, identity.incarnation).into(),
            next_sequence: sync::Arc::default(),
            published,
            commands_tx,
            platform: sync::Arc::clone(&parts.platform),
            clock: sync::Arc::clone(&parts.clock),
        }
    }

    /// Begins to leave: peers and callers are told, work in flight goes on.
    pub fn leave(&self) {
        self.send(Command::Leave);
    }

    /// Hands an operator's intended configuration to the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is refused, for instance because a later one is in force.
    pub async fn intent(&self, record: record::Record) -> Result<ids::Generation, error::Error> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Intent(record, tx));
        answered(rx).await?
    }

    /// Hands an accepted configuration to the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is refused, for instance because a later one is in force.
    pub async fn commit(&self, record: record::Record) -> Result<ids::Generation, error::Error> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Commit(record, tx));
        answered(rx).await?
    }

    fn send(&self, command: Command) {
        // The control thread ends only with the process; its callers then see a closed channel.
        let _ = self.commands_tx.send(command);
    }
}

async fn answered<T>(rx: oneshot::Receiver<T>) -> Result<T, error::Error> {
    match tokio::time::timeout(CONTROL_PATIENCE, rx).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(error::Error::not_run(
            error::ErrorKind::Internal,
            "the control thread did not answer",
        )),
    }
}

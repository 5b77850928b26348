//! The handle through which traffic threads use the control thread.

use std::{
    sync::{self, atomic},
    time,
};

use arc_swap::ArcSwap;
use mustardshed::{
    core::{boundary::clock, error, ids, process::snapshot, version::record},
    platform::{byte_counter, byte_counts},
};
use tokio::sync::{mpsc, oneshot};

use super::{Command, Parts};
use crate::process::claims;

/// Timeout for the control thread, beyond the time that the call itself may take.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Timeout for the owner of a request to report its fate.
pub(crate) const FATE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Handle of the running control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) prefix: sync::Arc<str>,
    pub(super) next_sequence: sync::Arc<atomic::AtomicU64>,
    pub(super) published: sync::Arc<ArcSwap<snapshot::Snapshot>>,
    pub(super) claims: claims::Claims,
    pub(super) clock: sync::Arc<dyn clock::Clock>,
    pub(super) peer_bytes: sync::Arc<byte_counter::ByteCounter>,
    commands_tx: mpsc::UnboundedSender<Command>,
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
            claims: claims::Claims::new(parts, commands_tx.clone()),
            clock: sync::Arc::clone(&parts.clock),
            peer_bytes: sync::Arc::default(),
            commands_tx,
        }
    }

    /// Returns the bytes of frames sent to and received from peers so far.
    pub fn peer_bytes(&self) -> byte_counts::ByteCounts {
        self.peer_bytes.counts()
    }

    /// Begins to leave: peers and callers are informed, and work in flight continues.
    pub fn leave(&self) {
        self.send(Command::Leave);
    }

    /// Waits, for at most `timeout`, until no claim is being made or released; returns how many
    /// still are.
    pub async fn wait_for_claims(&self, timeout: time::Duration) -> usize {
        self.claims.wait_until_idle(timeout).await
    }

    /// Reports how many requests are in flight, and how many may be.
    pub fn report_in_flight(&self, in_flight: usize, max_in_flight: usize) {
        self.send(Command::InFlight {
            in_flight,
            max_in_flight,
        });
    }

    /// Passes an operator's intended configuration to the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is refused, for instance because a later one is in force.
    pub async fn intent(&self, record: record::Record) -> Result<ids::Generation, error::Error> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Intent(record, tx));
        await_reply(rx, time::Duration::ZERO).await?
    }

    /// Passes an accepted configuration to the control thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is refused, for instance because a later one is in force.
    pub async fn commit(&self, record: record::Record) -> Result<ids::Generation, error::Error> {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Commit(record, tx));
        await_reply(rx, time::Duration::ZERO).await?
    }

    pub(super) fn send(&self, command: Command) {
        // The control thread lives as long as the process; without it callers see a closed channel.
        let _ = self.commands_tx.send(command);
    }
}

/// Waits for a reply of the control thread, which may take `timeout` to decide on it.
///
/// # Errors
///
/// Returns [`error::ErrorKind::Internal`] if no reply comes within `timeout` and a margin.
pub(crate) async fn await_reply<T>(
    rx: oneshot::Receiver<T>,
    timeout: time::Duration,
) -> Result<T, error::Error> {
    match tokio::time::timeout(timeout + CONTROL_TIMEOUT, rx).await {
        Ok(Ok(reply)) => Ok(reply),
        _ => Err(error::Error::not_run(
            error::ErrorKind::Internal,
            "the control thread did not answer",
        )),
    }
}

//! One connection of a client, and a request on it.

use std::{fmt, sync};

use mustardshed::core::forward::client_limits::{ConnectionId, Limit};
use tokio::{sync as tokio_sync, task};

use crate::forward::{clients::Clients, memory};

/// Turns of the scheduler in which a connection that must close gives its memory back.
const CLOSE_TURNS: usize = 2;
/// Most connections that are closed to give memory to another.
const MAX_CLOSED_FOR_MEMORY: usize = 4;

/// A connection, which is no longer counted once dropped.
#[derive(Debug)]
pub struct Connection {
    handle: Handle,
    evicted: sync::Arc<tokio_sync::Notify>,
}

impl Connection {
    pub(super) const fn new(handle: Handle, evicted: sync::Arc<tokio_sync::Notify>) -> Self {
        Self { handle, evicted }
    }

    /// Returns a handle to report what the connection does.
    #[must_use]
    pub const fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Waits until the connection must close.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.handle.clients.state();
        state.connections.close(self.handle.id);
        state.evictions.remove(&self.handle.id);
    }
}

/// Reports what a connection does.
#[derive(Clone)]
pub struct Handle {
    clients: sync::Arc<Clients>,
    id: ConnectionId,
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle").field("id", &self.id).finish()
    }
}

impl Handle {
    pub(super) const fn new(clients: sync::Arc<Clients>, id: ConnectionId) -> Self {
        Self { clients, id }
    }

    /// Records bytes received.
    pub(super) fn record_received(&self, bytes: usize) {
        let now = self.clients.cx.now();
        let mut state = self.clients.state();
        state.connections.record_received(self.id, bytes, now);
    }

    /// Records whether the client leaves its response unread.
    pub(super) fn record_unread(&self, is_unread: bool) {
        let now = self.clients.cx.now();
        let mut state = self.clients.state();
        state.connections.record_unread(self.id, is_unread, now);
    }

    /// Records that the head of a request has arrived.
    #[must_use]
    pub fn begin_request(&self) -> Request {
        let now = self.clients.cx.now();
        self.clients.state().connections.record_head(self.id, now);
        Request(sync::Arc::new(Active {
            handle: self.clone(),
        }))
    }

    /// Records that the connection is closed because there is no memory for it.
    pub fn record_no_memory(&self) {
        let mut state = self.clients.state();
        self.clients.count(&mut state, Limit::Memory, true);
    }

    /// Takes memory; if none is left, closes connections without progress for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none even so.
    pub async fn take_memory(
        &self,
        budget: &memory::Budget,
        bytes: usize,
    ) -> Result<memory::Held, memory::Exhausted> {
        let mut held = memory::Held::take(budget, bytes);
        for _ in 0..MAX_CLOSED_FOR_MEMORY {
            if held.is_ok() || !self.clients.close_for_memory() {
                break;
            }
            for _ in 0..CLOSE_TURNS {
                task::yield_now().await;
            }
            held = memory::Held::take(budget, bytes);
        }
        held
    }
}

/// A request, which ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Request(sync::Arc<Active>);

impl Request {
    /// Returns the handle of its connection.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.0.handle
    }

    /// Records that the request has arrived whole.
    pub fn record_arrived(&self) {
        let handle = self.handle();
        let now = handle.clients.cx.now();
        let mut state = handle.clients.state();
        state.connections.record_request(handle.id, now);
    }
}

#[derive(Debug)]
struct Active {
    handle: Handle,
}

impl Drop for Active {
    fn drop(&mut self) {
        let now = self.handle.clients.cx.now();
        let mut state = self.handle.clients.state();
        state.connections.record_end(self.handle.id, now);
    }
}

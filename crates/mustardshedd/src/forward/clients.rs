//! Connections of a listener's clients, within their limits.

use std::{collections, net, sync, time};

use mustardshed::core::forward::client_limits::{
    self, ClientLimits, ConnectionId, Limit, Limits, Timeouts,
};
use rustix::process;
use tokio::{sync as tokio_sync, task};

use crate::{
    forward::{cx, listeners},
    log::{self, event},
};

mod body;
mod buffers;
mod connection;
mod io;

pub use body::Body;
pub use buffers::Buffers;
pub use connection::{Connection, Handle, Request};
pub use io::Io;

/// Longest time of a head without progress if neither settings nor configuration set one.
const DEFAULT_HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Longest time of a body without progress if neither settings nor configuration set one.
const DEFAULT_BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Divisor of the descriptors that gives the connections for discovery, readiness and metrics each.
const OTHERS_DIVISOR: usize = 32;
/// Least number of such connections.
const MIN_OTHERS: usize = 16;
/// Divisor of all connections that gives those that have not completed a request.
const INCOMPLETE_DIVISOR: usize = 2;
/// Checks between two lines of the log.
const CHECKS_PER_LINE: u32 = 4;

/// The clients of a listener.
#[derive(Debug)]
pub struct Clients {
    cx: sync::Arc<cx::Cx>,
    purpose: listeners::Purpose,
    limits: Limits,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    connections: ClientLimits,
    /// Notified when a connection must close.
    evictions: collections::HashMap<ConnectionId, sync::Arc<tokio_sync::Notify>>,
    /// Connections closed or refused that are not yet logged, by limit and whether refused.
    unlogged: collections::BTreeMap<(Limit, bool), u64>,
    checks: u32,
}

impl Clients {
    /// Opens a listener's state, and checks its connections for as long as it is in use.
    #[must_use]
    pub fn open(cx: sync::Arc<cx::Cx>, purpose: listeners::Purpose) -> sync::Arc<Self> {
        let descriptors = descriptors(cx.settings.max_descriptors);
        let limits = limits(&cx, descriptors, purpose);
        if purpose == listeners::Purpose::Traffic {
            log::emit(&event::Event::ClientLimits {
                descriptors,
                max_connections: limits.max_connections,
                max_per_address: limits.max_per_address,
                max_incomplete: limits.max_incomplete,
                receive_buffer_bytes: cx.settings.clients.receive_buffer_bytes,
            });
        }
        let clients = sync::Arc::new(Self {
            cx,
            purpose,
            limits,
            state: sync::Mutex::new(State {
                connections: ClientLimits::new(limits),
                evictions: collections::HashMap::new(),
                unlogged: collections::BTreeMap::new(),
                checks: 0,
            }),
        });
        drop(task::spawn(check_all(sync::Arc::downgrade(&clients))));
        clients
    }

    /// Adds a connection; none if there are too many and none may be closed for it.
    #[must_use]
    pub fn accept(clients: &sync::Arc<Self>, address: net::IpAddr) -> Option<Connection> {
        let now = clients.cx.now();
        let mut state = clients.state();
        let opened = match state.connections.open(address, now) {
            Ok(opened) => opened,
            Err(limit) => {
                clients.count(&mut state, limit, true);
                return None;
            }
        };
        if let Some(closed) = opened.closed {
            clients.evict(&mut state, closed);
        }
        let evicted = sync::Arc::new(tokio_sync::Notify::new());
        state
            .evictions
            .insert(opened.id, sync::Arc::clone(&evicted));
        drop(state);
        let handle = Handle::new(sync::Arc::clone(clients), opened.id);
        Some(Connection::new(handle, evicted))
    }

    /// Closes a connection without progress to free its memory; returns whether there was one.
    fn close_for_memory(&self) -> bool {
        let mut state = self.state();
        let closed = state.connections.close_for_memory(self.cx.now());
        let Some(closed) = closed else {
            return false;
        };
        self.evict(&mut state, closed);
        true
    }

    fn evict(&self, state: &mut State, closed: client_limits::Closed) {
        if let Some(evicted) = state.evictions.remove(&closed.id) {
            evicted.notify_one();
        }
        self.count(state, closed.limit, false);
    }

    fn count(&self, state: &mut State, limit: Limit, is_refused: bool) {
        self.cx.metrics.client_limited(limit, is_refused);
        *state.unlogged.entry((limit, is_refused)).or_default() += 1;
    }

    /// Closes overdue connections, and logs at times what was closed.
    fn check(&self) {
        let configured = self.cx.routes().and_then(|routes| routes.limits);
        let settings = &self.cx.settings.clients;
        let head = configured.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.header_timeout);
        let body = configured.map_or(DEFAULT_BODY_TIMEOUT, |limits| limits.idle_timeout);
        let timeouts = Timeouts {
            head: settings.head_timeout.unwrap_or(head),
            body: settings.body_timeout.unwrap_or(body),
        };
        let mut state = self.state();
        for closed in state.connections.close_overdue(timeouts, self.cx.now()) {
            self.evict(&mut state, closed);
        }
        state.checks += 1;
        if state.checks < CHECKS_PER_LINE {
            return;
        }
        state.checks = 0;
        self.report(&mut state);
    }

    fn report(&self, state: &mut State) {
        let open = state.connections.open_count();
        let incomplete = state.connections.incomplete_count();
        if self.purpose == listeners::Purpose::Traffic {
            let max = self.limits.max_connections;
            self.cx.metrics.client_connections(open, incomplete, max);
        }
        for ((limit, is_refused), count) in std::mem::take(&mut state.unlogged) {
            let limit = limit.as_str();
            log::emit(&if is_refused {
                event::Event::ClientConnectionsRefused {
                    limit,
                    count,
                    open,
                    incomplete,
                }
            } else {
                event::Event::ClientConnectionsClosed {
                    limit,
                    count,
                    open,
                    incomplete,
                }
            });
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        // Every change is complete in itself, so poison is ignored.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

async fn check_all(clients: sync::Weak<Clients>) {
    loop {
        tokio::time::sleep(client_limits::CHECK_INTERVAL).await;
        match clients.upgrade() {
            Some(clients) => clients.check(),
            None => return,
        }
    }
}

/// Returns the most descriptors that this process may open, where the VM allows it `max` of them.
fn descriptors(max: Option<usize>) -> usize {
    let limit = process::getrlimit(process::Resource::Nofile).current;
    let limit = limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    });
    limit.min(max.unwrap_or(usize::MAX))
}

fn limits(cx: &cx::Cx, descriptors: usize, purpose: listeners::Purpose) -> Limits {
    let settings = &cx.settings.clients;
    let min_bytes_per_s = settings.min_bytes_per_s;
    if purpose != listeners::Purpose::Traffic {
        let max = (descriptors / OTHERS_DIVISOR).max(MIN_OTHERS);
        return Limits {
            max_connections: max,
            max_per_address: max,
            max_incomplete: max,
            min_bytes_per_s,
        };
    }
    let possible = client_limits::max_connections(descriptors, settings.reserved_descriptors);
    let in_memory = Buffers::new(settings, purpose).max_connections(cx.memory.limit());
    let possible = possible.min(in_memory).max(1);
    let max = settings.max_connections.unwrap_or(possible).min(possible);
    let incomplete = (max / INCOMPLETE_DIVISOR).max(1);
    Limits {
        max_connections: max,
        max_per_address: settings.max_per_address.unwrap_or(max),
        max_incomplete: settings.max_incomplete.unwrap_or(incomplete),
        min_bytes_per_s,
    }
}

//! Which connections of clients are kept, and which one is closed first when there are too many.
//!
//! Load addressed: clients that open many connections, send heads or bodies that do not end, or read
//! nothing. A connection counts as waiting for its client until a request has arrived whole, between
//! two requests, and while its client does not read; only then may it be closed. Bytes received earn
//! time at the least rate, so that a byte now and then does not count as progress.

use std::{collections, net, time};

use crate::ids;

/// Number of a connection.
pub type ConnectionId = u64;

/// Divisor of the descriptors that gives those kept for peers, the store, readiness, discovery,
/// metrics and files.
const RESERVED_DIVISOR: usize = 4;
/// Descriptors that a client may cause: its connection, and one to a server.
const DESCRIPTORS_PER_CLIENT: usize = 2;
/// Interval at which overdue connections are looked for.
pub const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time between two checks that shows that the process was suspended or too busy to read.
const SUSPENDED: time::Duration = time::Duration::from_secs(1);
/// Time without progress after which a connection is closed to give its memory to others.
const MEMORY_STALL: time::Duration = time::Duration::from_secs(1);

/// Limits on the connections of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most connections.
    pub max_connections: usize,
    /// Most connections of one address.
    pub max_per_address: usize,
    /// Most connections that have not completed a request.
    pub max_incomplete: usize,
    /// Rate below which a head or body makes no progress, in bytes per second.
    pub min_bytes_per_s: u32,
}

/// Longest times without progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Of a head, from its first byte on.
    pub head: time::Duration,
    /// Of a body.
    pub body: time::Duration,
}

/// Limit for which a connection is closed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Limit {
    /// Connections of one address.
    Address,
    /// Time of a body without progress.
    Body,
    /// All connections.
    Connections,
    /// Time of a head without progress.
    Head,
    /// Connections that have not completed a request.
    Incomplete,
    /// Memory for what others send.
    Memory,
}

impl Limit {
    /// Returns the name under which connections closed for it are counted.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Address => "address",
            Self::Body => "body",
            Self::Connections => "connections",
            Self::Head => "head",
            Self::Incomplete => "incomplete",
            Self::Memory => "memory",
        }
    }
}

/// A connection that is to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed {
    /// Its number.
    pub id: ConnectionId,
    /// Why.
    pub limit: Limit,
}

/// A connection that may be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Opened {
    /// Its number.
    pub id: ConnectionId,
    /// Connection that is closed for it.
    pub closed: Option<Closed>,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Waits for the first byte of a request.
    Idle,
    /// Receives a head.
    Head,
    /// Receives a body.
    Body,
    /// Is served.
    Served,
    /// Has a response that its client does not read.
    Unread,
}

#[derive(Debug)]
struct Connection {
    address: net::IpAddr,
    phase: Phase,
    /// Time up to which the bytes received count as progress.
    progress_at: ids::Timestamp,
    has_completed: bool,
}

impl Connection {
    fn is_waiting(&self) -> bool {
        self.phase != Phase::Served
    }

    /// Returns the order in which connections are closed: idle ones that have completed a request
    /// last, otherwise by the time without progress.
    fn order(&self) -> (bool, ids::Timestamp) {
        let is_idle = self.phase == Phase::Idle && self.has_completed;
        (is_idle, self.progress_at)
    }
}

/// Returns the most connections of clients of a process that may open so many descriptors.
#[must_use]
pub fn max_connections(descriptors: usize, reserved: Option<usize>) -> usize {
    let reserved = reserved.unwrap_or(descriptors / RESERVED_DIVISOR);
    (descriptors.saturating_sub(reserved) / DESCRIPTORS_PER_CLIENT).max(1)
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ClientLimits {
    limits: Limits,
    connections: collections::BTreeMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    checked_at: Option<ids::Timestamp>,
}

impl ClientLimits {
    /// Creates a listener's state without connections.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: collections::BTreeMap::new(),
            next_id: 0,
            checked_at: None,
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections that have not completed a request.
    #[must_use]
    pub fn incomplete_count(&self) -> usize {
        let connections = self.connections.values();
        connections.filter(|c| !c.has_completed).count()
    }

    /// Adds a connection. If there are too many, the one that has made no progress for the longest
    /// time is closed for it.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached if none may be closed.
    pub fn open(&mut self, address: net::IpAddr, now: ids::Timestamp) -> Result<Opened, Limit> {
        let of_address = |c: &Connection| c.address == address;
        let count = self.connections.values().filter(|c| of_address(c)).count();
        let closed = if count >= self.limits.max_per_address {
            Some(self.evict(Limit::Address, of_address))
        } else if self.open_count() >= self.limits.max_connections {
            Some(self.evict(Limit::Connections, |_| true))
        } else if self.incomplete_count() >= self.limits.max_incomplete {
            Some(self.evict(Limit::Incomplete, |c| !c.has_completed))
        } else {
            None
        };
        let closed = closed.transpose()?;
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            address,
            phase: Phase::Idle,
            progress_at: now,
            has_completed: false,
        };
        self.connections.insert(id, connection);
        Ok(Opened { id, closed })
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Records bytes received on a connection.
    pub fn record_received(&mut self, id: ConnectionId, bytes: usize, now: ids::Timestamp) {
        let rate = self.limits.min_bytes_per_s.max(1);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match connection.phase {
            Phase::Idle => {
                connection.phase = Phase::Head;
                connection.progress_at = now;
            }
            Phase::Head | Phase::Body => {
                let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
                let earned = time::Duration::from_secs(1) * bytes / rate;
                connection.progress_at = now.min(connection.progress_at + earned);
            }
            Phase::Served | Phase::Unread => {}
        }
    }

    /// Records that a request's head has arrived.
    pub fn record_head(&mut self, id: ConnectionId, now: ids::Timestamp) {
        self.enter(id, Phase::Body, now);
    }

    /// Records that a request has arrived whole.
    pub fn record_request(&mut self, id: ConnectionId, now: ids::Timestamp) {
        self.enter(id, Phase::Served, now);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.has_completed = true;
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, id: ConnectionId, now: ids::Timestamp) {
        self.enter(id, Phase::Idle, now);
    }

    /// Records whether the client of a connection that is served leaves its response unread.
    pub fn record_unread(&mut self, id: ConnectionId, is_unread: bool, now: ids::Timestamp) {
        let phase = self.connections.get(&id).map(|c| c.phase);
        match (phase, is_unread) {
            (Some(Phase::Served), true) => self.enter(id, Phase::Unread, now),
            (Some(Phase::Unread), false) => self.enter(id, Phase::Served, now),
            _ => {}
        }
    }

    fn enter(&mut self, id: ConnectionId, phase: Phase, now: ids::Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.progress_at = now;
        }
    }

    /// Closes the connections whose heads or bodies have made no progress for too long.
    pub fn close_overdue(&mut self, timeouts: Timeouts, now: ids::Timestamp) -> Vec<Closed> {
        self.forgive_suspension(now);
        let overdue = self.connections.iter().filter_map(|(&id, connection)| {
            let (limit, timeout) = match connection.phase {
                Phase::Head => (Limit::Head, timeouts.head),
                Phase::Body => (Limit::Body, timeouts.body),
                Phase::Idle | Phase::Served | Phase::Unread => return None,
            };
            let stalled = now.saturating_sub(connection.progress_at);
            (stalled > timeout).then_some(Closed { id, limit })
        });
        let overdue: Vec<Closed> = overdue.collect();
        for closed in &overdue {
            self.connections.remove(&closed.id);
        }
        overdue
    }

    /// Does not count time in which this process has read nothing.
    fn forgive_suspension(&mut self, now: ids::Timestamp) {
        let last = self.checked_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(last);
        if elapsed < SUSPENDED {
            return;
        }
        for connection in self.connections.values_mut() {
            connection.progress_at = now.min(connection.progress_at + elapsed);
        }
    }

    /// Closes the connection that has made no progress for the longest time, so that another request
    /// gets its memory; none if all make progress.
    pub fn close_for_memory(&mut self, now: ids::Timestamp) -> Option<Closed> {
        let is_stalled =
            |c: &Connection| !c.order().0 && now.saturating_sub(c.progress_at) >= MEMORY_STALL;
        self.evict(Limit::Memory, is_stalled).ok()
    }

    fn evict(
        &mut self,
        limit: Limit,
        is_candidate: impl Fn(&Connection) -> bool,
    ) -> Result<Closed, Limit> {
        let connections = self.connections.iter();
        let candidates = connections.filter(|(_, c)| c.is_waiting() && is_candidate(c));
        let first = candidates.min_by_key(|(id, c)| (c.order(), **id));
        let id = first.map(|(id, _)| *id).ok_or(limit)?;
        self.connections.remove(&id);
        Ok(Closed { id, limit })
    }
}

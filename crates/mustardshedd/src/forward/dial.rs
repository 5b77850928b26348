//! Connections to backend servers: by this entry itself, or through a peer that reaches them.
//!
//! A connection carries nothing until it stands, so several ways may be tried at once.

use std::{collections, io, sync, time};

use displaydoc::Display;
use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream};
use mustardshed::{
    core::{forward::paths, ids},
    wire::forward::tunnel as wire,
};
use tokio::net;

use crate::forward::{cx, tunnel, upstream};

/// Longest wait for a connection; a live server accepts within some milliseconds.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// The same for a connection that a peer waits for, which is shorter so that the peer hears of a
/// failure within its own time.
const PEER_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Time after which the next way is tried beside one that has not led to a connection.
const STAGGER: time::Duration = time::Duration::from_millis(40);
/// Most peers that are asked to connect to a server for a request.
const MAX_PEERS: usize = 2;
/// Most peers that are asked whether they reach a server.
const MAX_WITNESSES: usize = 3;
/// Most other servers that are tried to tell a server that refuses from a path that does.
const MAX_OTHERS: usize = 3;

/// Why a server was not reached.
#[derive(Clone, Debug, Display)]
pub enum Failure {
    /// connection refused
    Refused,
    /// {0}
    Unreachable(String),
    /// the peer makes no connection
    Unavailable,
    /// the peer does not answer: {0}
    NoPeer(String),
}

impl Failure {
    /// Returns whether it says something of the server.
    const fn is_of_server(&self) -> bool {
        matches!(self, Self::Refused | Self::Unreachable(_))
    }
}

impl From<io::Error> for Failure {
    fn from(e: io::Error) -> Self {
        match e.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unreachable(e.to_string()),
        }
    }
}

/// A server that was reached in no way.
#[derive(Clone, Debug, Display)]
#[displaydoc("cannot connect: {reason}")]
pub struct Unreached {
    /// Failure of this entry's own connection, or of the last peer.
    pub reason: String,
    /// Whether its port is closed for all that tried.
    pub is_refused: bool,
    /// Whether a peer could not reach it either, or there is none to ask.
    pub is_confirmed: bool,
    /// Whether a peer could not reach it either.
    has_witness: bool,
}

/// Connects to a server for a request.
///
/// # Errors
///
/// Returns an error if neither this entry nor a peer can connect in time.
pub async fn connect(
    cx: &sync::Arc<cx::Cx>,
    server: &str,
    address: &str,
) -> Result<upstream::Connection, Unreached> {
    let plan = cx.plan_path(server);
    let reached = Race::new(cx, server, address, MAX_PEERS)
        .run(plan, 1)
        .await?;
    cx.metrics.connected(reached.is_direct);
    let opened = upstream::Connection::open(reached.io).await;
    opened.map_err(|e| Unreached {
        reason: e.to_string(),
        is_refused: false,
        is_confirmed: false,
        has_witness: false,
    })
}

/// Returns whether this entry reaches a server by itself; false if only a peer does.
///
/// # Errors
///
/// Returns an error if neither this entry nor a peer reaches it.
pub async fn check(cx: &sync::Arc<cx::Cx>, server: &str, address: &str) -> Result<bool, Unreached> {
    let race = Race::new(cx, server, address, MAX_WITNESSES);
    let reached = race.run(paths::Plan::Direct, MAX_WITNESSES).await;
    match reached {
        Ok(reached) => Ok(reached.is_direct),
        Err(unreached) if unreached.is_refused && !unreached.has_witness => Err(Unreached {
            is_refused: reaches_another(cx, server).await,
            ..unreached
        }),
        Err(unreached) => Err(unreached),
    }
}

/// Returns whether this entry reaches any other server than `except`, so that a refused connection was
/// refused by the server; true if there is no other server.
async fn reaches_another(cx: &sync::Arc<cx::Cx>, except: &str) -> bool {
    let others = cx.other_servers(except, MAX_OTHERS);
    let has_others = !others.is_empty();
    let connecting = others.into_iter().map(|(server, address)| async move {
        let connecting = tokio::time::timeout(PEER_CONNECT_TIMEOUT, connect_directly(&address));
        let is_connected = matches!(connecting.await, Ok(Ok(_)));
        cx.record_connection(&server, is_connected);
        is_connected
    });
    let mut connecting: stream::FuturesUnordered<_> = connecting.collect();
    while let Some(is_connected) = connecting.next().await {
        if is_connected {
            return true;
        }
    }
    !has_others
}

/// Connects to a server for a peer, by this entry's own path only.
///
/// # Errors
///
/// Returns the reply to the peer.
pub async fn connect_for_peer(
    cx: &sync::Arc<cx::Cx>,
    server: &str,
    address: &str,
) -> Result<net::TcpStream, wire::Reply> {
    if cx.plan_path(server) == (paths::Plan::Bypass { tries_path: false }) {
        return Err(wire::Reply::Unavailable);
    }
    let connecting = tokio::time::timeout(PEER_CONNECT_TIMEOUT, connect_directly(address));
    let connected = connecting.await.unwrap_or_else(|_| {
        Err(Failure::Unreachable(format!(
            "timeout of {PEER_CONNECT_TIMEOUT:?}"
        )))
    });
    cx.record_connection(server, connected.is_ok());
    match connected {
        Ok(stream) => Ok(stream),
        // It says nothing of the server if this entry reaches no other one.
        Err(_) if cx.state().paths.are_lost() => Err(wire::Reply::Unavailable),
        Err(Failure::Refused) if reaches_another(cx, server).await => Err(wire::Reply::Refused),
        Err(Failure::Refused) => Err(wire::Reply::Unavailable),
        Err(_) => Err(wire::Reply::Unreachable),
    }
}

async fn connect_directly(address: &str) -> Result<net::TcpStream, Failure> {
    let stream = net::TcpStream::connect(address).await?;
    upstream::configure_socket(&stream)?;
    Ok(stream)
}

/// A server that was reached.
struct Reached {
    io: Box<dyn upstream::Io>,
    is_direct: bool,
}

/// A way to a server.
#[derive(Clone, Debug)]
enum Way {
    Direct,
    Peer(ids::VmId),
}

type Attempt<'a> = BoxFuture<'a, (Way, Result<Box<dyn upstream::Io>, Failure>)>;

/// Ways to a server that are tried at the same time; the first that leads there is taken.
struct Race<'a> {
    cx: &'a sync::Arc<cx::Cx>,
    server: &'a str,
    address: &'a str,
    /// Peers not asked yet, and whether they were looked for.
    peers: Option<collections::VecDeque<paths::Peer>>,
    max_peers: usize,
    racing: stream::FuturesUnordered<Attempt<'a>>,
    direct_since: Option<ids::Timestamp>,
    direct_failure: Option<Failure>,
    peer_failures: Vec<(ids::VmId, Failure)>,
}

impl<'a> Race<'a> {
    fn new(cx: &'a sync::Arc<cx::Cx>, server: &'a str, address: &'a str, max_peers: usize) -> Self {
        Self {
            cx,
            server,
            address,
            peers: None,
            max_peers,
            racing: stream::FuturesUnordered::new(),
            direct_since: None,
            direct_failure: None,
            peer_failures: Vec::new(),
        }
    }

    /// Tries the ways of the plan, and then all others; asks `at_once` peers at the same time.
    async fn run(mut self, plan: paths::Plan, at_once: usize) -> Result<Reached, Unreached> {
        if plan != paths::Plan::Direct {
            self.ask_peers(at_once);
        }
        if plan != (paths::Plan::Bypass { tries_path: false }) || self.racing.is_empty() {
            self.start_direct();
        }
        let mut timeout = std::pin::pin!(tokio::time::sleep(CONNECT_TIMEOUT));
        while !self.racing.is_empty() {
            tokio::select! {
                biased;
                Some((way, result)) = self.racing.next() => match result {
                    Ok(io) => return Ok(self.won(plan, &way, io)),
                    Err(failure) => {
                        self.failed(way, failure);
                        self.start_next(at_once);
                    }
                },
                () = &mut timeout => break,
                () = tokio::time::sleep(STAGGER), if self.has_next() => self.start_next(at_once),
            }
        }
        Err(self.unreached())
    }

    fn has_next(&mut self) -> bool {
        self.direct_since.is_none() || !self.peers().is_empty()
    }

    fn start_next(&mut self, at_once: usize) {
        if !self.ask_peers(at_once) && self.direct_since.is_none() {
            self.start_direct();
        }
    }

    fn start_direct(&mut self) {
        self.direct_since = Some(self.cx.now());
        let address = self.address;
        let connecting = connect_directly(address).map(|connected| {
            let connected = connected.map(|stream| Box::new(stream) as Box<dyn upstream::Io>);
            (Way::Direct, connected)
        });
        self.racing.push(connecting.boxed());
    }

    /// Asks the next peers; returns whether there was one.
    fn ask_peers(&mut self, at_once: usize) -> bool {
        let mut has_asked = false;
        for _ in 0..at_once {
            let Some(peer) = self.peers().pop_front() else {
                break;
            };
            has_asked = true;
            let server = self.server;
            let opening = async move {
                let opened = tunnel::open(&peer.address, server).await;
                let opened = opened.map(|io| Box::new(io) as Box<dyn upstream::Io>);
                (Way::Peer(peer.vm), opened)
            };
            self.racing.push(opening.boxed());
        }
        has_asked
    }

    fn peers(&mut self) -> &mut collections::VecDeque<paths::Peer> {
        let (cx, limit) = (self.cx, self.max_peers);
        self.peers
            .get_or_insert_with(|| cx.peers_to_ask(limit).into())
    }

    fn failed(&mut self, way: Way, failure: Failure) {
        match way {
            Way::Direct => {
                self.cx.record_connection(self.server, false);
                self.direct_failure = Some(failure);
            }
            Way::Peer(vm) => {
                if !failure.is_of_server() {
                    self.cx.record_peer_failed(&vm);
                }
                self.peer_failures.push((vm, failure));
            }
        }
    }

    fn won(&self, plan: paths::Plan, way: &Way, io: Box<dyn upstream::Io>) -> Reached {
        for (vm, _) in &self.peer_failures {
            self.cx.record_peer_failed(vm);
        }
        let is_direct = match way {
            Way::Direct => {
                self.cx.record_connection(self.server, true);
                true
            }
            Way::Peer(vm) => {
                let was_bypassed = plan != paths::Plan::Direct;
                if self.direct_is_late() || (was_bypassed && self.direct_since.is_some()) {
                    self.cx.record_bypass(self.server, vm);
                }
                false
            }
        };
        Reached { io, is_direct }
    }

    /// Returns whether this entry's own connection failed, or takes longer than it should.
    fn direct_is_late(&self) -> bool {
        let now = self.cx.now();
        let since = self.direct_since;
        self.direct_failure.is_some() || since.is_some_and(|at| now.saturating_sub(at) >= STAGGER)
    }

    fn unreached(mut self) -> Unreached {
        let is_hanging = self.direct_since.is_some() && self.direct_failure.is_none();
        if is_hanging {
            let reason = format!("timeout of {CONNECT_TIMEOUT:?}");
            self.failed(Way::Direct, Failure::Unreachable(reason));
        }
        let peers = self.peer_failures.iter().map(|(_, failure)| failure);
        let of_server: Vec<&Failure> = peers.filter(|failure| failure.is_of_server()).collect();
        let has_peers = !self.peer_failures.is_empty() || !self.racing.is_empty();
        let is_refused = |failure: &Failure| matches!(failure, Failure::Refused);
        let last = self.peer_failures.last().map(|(_, failure)| failure);
        let reason = self.direct_failure.as_ref().or(last);
        Unreached {
            reason: reason.map(ToString::to_string).unwrap_or_default(),
            is_refused: self.direct_failure.as_ref().is_some_and(is_refused)
                && of_server.iter().all(|failure| is_refused(failure)),
            is_confirmed: !has_peers || !of_server.is_empty(),
            has_witness: !of_server.is_empty(),
        }
    }
}

//! The ways to a server, tried one beside the other.

use std::{collections, sync, time};

use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream};
use mustardshed::core::{forward::paths, ids};

use crate::forward::{
    cx,
    dial::{self, Failure, Unreached},
    tunnel, upstream,
};

/// Longest wait for a connection; a live server accepts within some milliseconds.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Time after which the next way is tried beside one that has not led to a connection.
const STAGGER: time::Duration = time::Duration::from_millis(40);

/// A server that was reached.
pub(super) struct Reached {
    pub(super) io: Box<dyn upstream::Io>,
    pub(super) is_direct: bool,
}

/// A way to a server.
#[derive(Clone, Debug)]
enum Way {
    Direct,
    Peer(ids::VmId),
}

type Attempt<'a> = BoxFuture<'a, (Way, Result<Box<dyn upstream::Io>, Failure>)>;

/// Ways to a server that are tried at the same time; the first that leads there is taken.
pub(super) struct Race<'a> {
    cx: &'a sync::Arc<cx::Cx>,
    server: &'a str,
    address: &'a str,
    /// Peers not asked yet; none until they are looked for.
    peers: Option<collections::VecDeque<paths::Peer>>,
    max_peers: usize,
    racing: stream::FuturesUnordered<Attempt<'a>>,
    direct_since: Option<ids::Timestamp>,
    direct_failure: Option<Failure>,
    peer_failures: Vec<(ids::VmId, Failure)>,
}

impl<'a> Race<'a> {
    pub(super) fn new(
        cx: &'a sync::Arc<cx::Cx>,
        server: &'a str,
        address: &'a str,
        max_peers: usize,
    ) -> Self {
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
    pub(super) async fn run(
        mut self,
        plan: paths::Plan,
        at_once: usize,
    ) -> Result<Reached, Unreached> {
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

    /// Returns whether another way may be tried. Peers are looked for only when one is needed.
    fn has_next(&self) -> bool {
        let may_have_peers = self.peers.as_ref().is_none_or(|peers| !peers.is_empty());
        self.direct_since.is_none() || may_have_peers
    }

    fn start_next(&mut self, at_once: usize) {
        if !self.ask_peers(at_once) && self.direct_since.is_none() {
            self.start_direct();
        }
    }

    fn start_direct(&mut self) {
        self.direct_since = Some(self.cx.now());
        let address = self.address;
        let connecting = dial::connect_directly(address).map(|connected| {
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
        let has_peers = self.cx.has_live_peers();
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

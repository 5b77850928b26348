//! Connections to backend servers: by this entry itself, or through a peer that reaches them.
//!
//! A connection carries nothing until it stands, so several ways may be tried at once.

use std::{sync, time};

use futures_util::{StreamExt, stream};
use mustardshed::{core::forward::paths, wire::forward::tunnel as wire};
use tokio::net;

use crate::forward::{cx, upstream};

mod failure;
mod race;
mod unreached;

pub use failure::Failure;
pub use unreached::Unreached;

/// Longest wait for a connection that a peer waits for, shorter than the peer's own so that it hears of
/// a failure.
const PEER_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Most peers that are asked to connect to a server for a request.
const MAX_PEERS: usize = 2;
/// Most peers that are asked whether they reach a server.
const MAX_WITNESSES: usize = 3;
/// Most other servers that are tried to tell a server that refuses from a path that does.
const MAX_OTHERS: usize = 3;

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
    let race = race::Race::new(cx, server, address, MAX_PEERS);
    let reached = match race.run(plan, 1).await {
        Ok(reached) => reached,
        Err(unreached) => {
            if !unreached.is_refused {
                cx.state().paths.record_unanswered(server);
            }
            return Err(unreached);
        }
    };
    cx.state().paths.record_reached();
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
    let race = race::Race::new(cx, server, address, MAX_WITNESSES);
    match race.run(paths::Plan::Direct, MAX_WITNESSES).await {
        Ok(reached) => Ok(reached.is_direct),
        Err(unreached) if unreached.is_refused && !unreached.has_witness => {
            let is_refused = reaches_another(cx, server).await;
            Err(Unreached {
                is_refused,
                is_confirmed: unreached.is_confirmed || is_refused,
                ..unreached
            })
        }
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

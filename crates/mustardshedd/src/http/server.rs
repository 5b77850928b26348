//! The listener and its connections, limited in number, header size and time.

use std::{io, net, sync, time};

use hyper::server::conn::http1;
use hyper_util::{rt, service};
use tokio::{net as tokio_net, sync as tokio_sync, task};
use warp::{filters::BoxedFilter, reply::Response};

use crate::{
    http::{bounded_io, cx, routes},
    log::{self, event},
};

/// Pause after a failed accept.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Maximum number of headers of one request.
const MAX_HEADERS: usize = 64;
/// Time, from the begin of the shutdown, within which requests that are under way still arrive and
/// are answered.
const LINGER_TIME: time::Duration = time::Duration::from_millis(500);
/// Interval between checks whether all requests have ended.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A running listener; dropping it begins a shutdown for which nobody waits.
#[derive(Debug)]
pub struct Server {
    local_addr: net::SocketAddr,
    cx: sync::Arc<cx::Cx>,
    closing: tokio_sync::watch::Sender<bool>,
    accepting: task::JoinHandle<()>,
    tracker: tokio_util::task::TaskTracker,
}

/// Binds the listener and serves callers and operators.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(addr: net::SocketAddr, cx: sync::Arc<cx::Cx>) -> io::Result<Server> {
    let listener = tokio_net::TcpListener::bind(addr).await?;
    let local_addr = listener.local_addr()?;
    let (closing, closed) = tokio_sync::watch::channel(false);
    let tracker = tokio_util::task::TaskTracker::new();
    let acceptor = Acceptor {
        listener,
        routes: routes::routes(sync::Arc::clone(&cx)),
        limits: cx.limits,
        slots: sync::Arc::new(tokio_sync::Semaphore::new(cx.limits.max_connections)),
        closed,
        tracker: tracker.clone(),
    };
    log::emit(&event::Event::Listening {
        address: &local_addr.to_string(),
    });
    Ok(Server {
        local_addr,
        cx,
        closing,
        accepting: tokio::spawn(acceptor.run()),
        tracker,
    })
}

impl Server {
    /// Returns the bound address.
    pub const fn local_addr(&self) -> net::SocketAddr {
        self.local_addr
    }

    /// Refuses new work from now on; running requests continue, and fates can still be queried.
    pub fn begin_drain(&self) {
        self.cx.requests.begin_drain();
        log::emit(&event::Event::DrainBegan {
            in_flight: self.in_flight(),
        });
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.cx.requests.in_flight()
    }

    /// Waits until every request has ended.
    pub async fn wait_until_idle(&self) {
        while self.in_flight() > 0 {
            tokio::time::sleep(IDLE_INTERVAL).await;
        }
    }

    /// Waits, for at most `timeout`, until the fates of all claimed requests that have ended are
    /// recorded; returns how many are not.
    pub async fn wait_for_settlements(&self, timeout: time::Duration) -> usize {
        self.cx.requests.wait_for_settlements(timeout).await
    }

    /// Stops accepting connections and waits until the open ones have ended.
    ///
    /// Requests that have arrived but are not yet accepted or read are answered first. A connection
    /// ends when its current request does.
    pub async fn shutdown(self) {
        self.closing.send_replace(true);
        // The acceptor ends by itself and does not panic.
        drop(self.accepting.await);
        self.tracker.close();
        self.tracker.wait().await;
    }
}

/// Accepts connections.
struct Acceptor {
    listener: tokio_net::TcpListener,
    routes: BoxedFilter<(Response,)>,
    limits: crate::http::limits::Limits,
    slots: sync::Arc<tokio_sync::Semaphore>,
    closed: tokio_sync::watch::Receiver<bool>,
    tracker: tokio_util::task::TaskTracker,
}

impl Acceptor {
    /// Accepts connections until some time after the begin of the shutdown.
    async fn run(self) {
        tokio::select! {
            () = self.accept() => {}
            () = linger(self.closed.clone()) => {}
        }
    }

    async fn accept(&self) {
        loop {
            let Ok(slot) = sync::Arc::clone(&self.slots).acquire_owned().await else {
                return;
            };
            match self.listener.accept().await {
                Ok((stream, _)) => self.spawn(stream, slot),
                Err(err) => {
                    log::emit(&event::Event::AcceptFailed {
                        reason: &err.to_string(),
                    });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn spawn(&self, stream: tokio_net::TcpStream, slot: tokio_sync::OwnedSemaphorePermit) {
        // Without this a small chunk may wait until the one before is acknowledged.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let io = bounded_io::BoundedIo::new(stream, self.limits.idle_timeout);
        let served = service::TowerToHyperService::new(warp::service(self.routes.clone()));
        let connection = http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout.max(self.limits.idle_timeout))
            .max_buf_size(self.limits.max_header_bytes)
            .max_headers(MAX_HEADERS)
            .serve_connection(rt::TokioIo::new(io), served);
        let lingered = linger(self.closed.clone());
        self.tracker.spawn(async move {
            let mut connection = std::pin::pin!(connection);
            let served = tokio::select! {
                served = connection.as_mut() => Some(served),
                () = lingered => None,
            };
            if served.is_none() {
                connection.as_mut().graceful_shutdown();
                drop(connection.await);
            }
            drop(slot);
        });
    }
}

/// Waits until the listener is to close and requests that were under way have arrived.
async fn linger(mut closed: tokio_sync::watch::Receiver<bool>) {
    // Without a sender the listener was dropped, which also closes it.
    drop(closed.wait_for(|closed| *closed).await);
    tokio::time::sleep(LINGER_TIME).await;
}

//! The listener that the stand-ins share: `hyper` connections around a `warp` filter.
//!
//! ```no_run
//! use mustardshed_standins::http;
//! use warp::Filter;
//!
//! # async fn run() -> std::io::Result<()> {
//! let routes = warp::any().map(|| http::json(200, &"hello")).boxed();
//! let server = http::Server::bind("127.0.0.1:0".parse().unwrap(), routes).await?;
//! println!("{}", server.address());
//! # Ok(())
//! # }
//! ```

use std::{convert, io, net, pin, sync, time};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use displaydoc::Display;
use futures_util::StreamExt;
use hyper::{server::conn::http1, service::Service};
use hyper_util::{rt, service};
use tokio::{net as tokio_net, signal, task};
use warp::{Filter, Reply, filters, reject, reply};

/// Connections that one stand-in serves at once.
const MAX_CONNECTIONS: usize = 8_192;
/// Time within which a caller must have sent its headers.
const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Bytes of headers that are read at most.
const MAX_HEADER_BYTES: usize = 64 * 1_024;
/// Pause after an accept that failed, for example for want of descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Routes of a stand-in.
pub type Routes = filters::BoxedFilter<(reply::Response,)>;

/// Marks an answer that must not be sent: its connection is closed instead.
#[derive(Clone, Copy, Debug)]
struct Cut;

/// the connection is closed without an answer
#[derive(Clone, Copy, Debug, Display)]
struct ConnectionCut;

impl std::error::Error for ConnectionCut {}

/// A body that is larger than its route allows.
#[derive(Clone, Copy, Debug)]
struct BodyTooLarge;

impl reject::Reject for BodyTooLarge {}

/// A body that broke off.
#[derive(Clone, Copy, Debug)]
struct BodyBroken;

impl reject::Reject for BodyBroken {}

/// A running listener; dropping it ends the listener and its connections.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    listener: task::JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and serves `routes` until dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the address cannot be listened on.
    pub async fn bind(address: net::SocketAddr, routes: Routes) -> io::Result<Self> {
        let listener = tokio_net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let listener = tokio::spawn(accept(listener, routes));
        Ok(Self { address, listener })
    }

    /// Returns the address on which callers reach this listener.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the base URL of this listener.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Prints the line that tells a starter where to connect, and serves until the process is told to end.
    ///
    /// # Errors
    ///
    /// Returns an error if the signals of the process cannot be awaited.
    pub async fn run(self) -> io::Result<()> {
        println!("LISTENING {}", self.address);
        let mut terminate = signal::unix::signal(signal::unix::SignalKind::terminate())?;
        tokio::select! {
            interrupted = signal::ctrl_c() => interrupted,
            _ = terminate.recv() => Ok(()),
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

/// Makes a JSON answer.
pub fn json<T: serde::Serialize>(status: u16, body: &T) -> reply::Response {
    let status = ::http::StatusCode::from_u16(status).unwrap_or_default();
    reply::with_status(reply::json(body), status).into_response()
}

/// Makes a JSON answer that says why a call was not carried out.
pub fn refusal(status: u16, reason: impl Into<String>) -> reply::Response {
    json(status, &serde_json::json!({ "reason": reason.into() }))
}

/// Makes an answer that is never sent: the connection is closed in its place.
pub fn cut() -> reply::Response {
    let mut res = reply::Response::default();
    res.extensions_mut().insert(Cut);
    res
}

/// Works on a call to its end even if its caller hangs up meanwhile.
pub async fn detached(
    work: impl Future<Output = reply::Response> + Send + 'static,
) -> reply::Response {
    tokio::spawn(work).await.unwrap_or_else(|_| cut())
}

/// Extracts a body of at most `limit` bytes, whether its length is stated or not.
pub fn body(limit: usize) -> filters::BoxedFilter<(Bytes,)> {
    warp::body::stream()
        .and_then(move |chunks| collect(chunks, limit))
        .boxed()
}

async fn collect<S, B>(chunks: S, limit: usize) -> Result<Bytes, warp::Rejection>
where
    S: futures_util::Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let mut chunks = pin::pin!(chunks);
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let mut chunk = chunk.map_err(|_| reject::custom(BodyBroken))?;
        if body.len() + chunk.remaining() > limit {
            return Err(reject::custom(BodyTooLarge));
        }
        body.put(chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(body.freeze())
}

/// Turns a rejection of the routes into an answer with a reason.
///
/// # Errors
///
/// None; the signature is the one that `warp` asks for.
pub async fn recover(rejection: warp::Rejection) -> Result<reply::Response, convert::Infallible> {
    Ok(answer(&rejection))
}

fn answer(rejection: &warp::Rejection) -> reply::Response {
    if rejection.is_not_found() {
        return refusal(404, "no such path");
    }
    if rejection.find::<reject::PayloadTooLarge>().is_some()
        || rejection.find::<BodyTooLarge>().is_some()
    {
        return refusal(413, "the body is too large");
    }
    if rejection.find::<reject::LengthRequired>().is_some() {
        return refusal(411, "the body's length is missing");
    }
    if let Some(e) = rejection.find::<filters::body::BodyDeserializeError>() {
        return refusal(400, e.to_string());
    }
    if let Some(e) = rejection.find::<reject::MissingHeader>() {
        return refusal(400, e.to_string());
    }
    if let Some(e) = rejection.find::<reject::InvalidHeader>() {
        return refusal(400, e.to_string());
    }
    if let Some(e) = rejection.find::<reject::InvalidQuery>() {
        return refusal(400, e.to_string());
    }
    if rejection.find::<reject::MethodNotAllowed>().is_some() {
        return refusal(405, "the method is not allowed on this path");
    }
    refusal(400, "the call is malformed")
}

async fn accept(listener: tokio_net::TcpListener, routes: Routes) {
    let slots = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    let mut connections = task::JoinSet::new();
    while let Ok(slot) = sync::Arc::clone(&slots).acquire_owned().await {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let routes = routes.clone();
        connections.spawn(async move {
            serve(stream, routes).await;
            drop(slot);
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Serves one connection; its errors concern the caller alone.
async fn serve(stream: tokio_net::TcpStream, routes: Routes) {
    let _ = stream.set_nodelay(true);
    let routes = service::TowerToHyperService::new(warp::service(routes));
    let checked = hyper::service::service_fn(move |req| {
        let res = routes.call(req);
        async move { res.await.map_err(|e| match e {}).and_then(unless_cut) }
    });
    let _ = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(rt::TokioIo::new(stream), checked)
        .await;
}

fn unless_cut(res: reply::Response) -> Result<reply::Response, ConnectionCut> {
    match res.extensions().get::<Cut>() {
        Some(Cut) => Err(ConnectionCut),
        None => Ok(res),
    }
}

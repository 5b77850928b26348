//! Clients that keep their connections until the entry closes them.

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body, client::conn::http1};
use hyper_util::rt;
use tokio::task;

use crate::{entry, fixture};

/// Delay before another connection after a failed one.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(10);
/// Time beyond a request's deadline after which a client no longer waits for the answer.
const PATIENCE: time::Duration = time::Duration::from_secs(10);
/// Receive buffer of clients that read slowly, in bytes.
const SMALL_BUFFER_BYTES: u32 = 16 * 1024;
/// Body of the requests that have one.
const BODY: &str = "two mustard seeds";

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Kind {
    /// A call that may run once.
    Once,
    /// A call that may be repeated.
    Again,
    /// A public call that may be repeated.
    Open,
    /// A stream of events.
    Stream,
}

impl Kind {
    pub(crate) const ALL: [Self; 4] = [Self::Once, Self::Again, Self::Open, Self::Stream];

    fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/order",
            Self::Again => "/again/search?q=1",
            Self::Open => "/open/status",
            Self::Stream => "/stream/news",
        }
    }
}

/// What a client sends next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Index of the entry.
    pub(crate) entry: usize,
    pub(crate) kind: Kind,
    pub(crate) has_body: bool,
    pub(crate) deadline: time::Duration,
    /// Pause after each piece of the answer that is read, on a connection with a small buffer.
    pub(crate) read_pause: Option<time::Duration>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// A complete answer.
    Answered(u16),
    /// An answer that ended early or is another request's.
    Broken(String),
    /// The connection ended without an answer.
    Closed(String),
    /// No answer, on an open connection.
    Silent,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) id: String,
    pub(crate) plan: Plan,
    pub(crate) sent_at: time::Instant,
    pub(crate) ended_at: time::Instant,
    pub(crate) outcome: Outcome,
}

type Connection = http1::SendRequest<http_body_util::Full<Bytes>>;

/// A client with at most one connection to each entry.
#[derive(Debug)]
pub(crate) struct Client {
    name: String,
    ips: Vec<net::Ipv4Addr>,
    connections: collections::HashMap<usize, Connection>,
    requests: u64,
}

impl Client {
    pub(crate) fn open(ips: &[net::Ipv4Addr]) -> Self {
        static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        Self {
            name: format!("c{number}"),
            ips: ips.to_vec(),
            connections: collections::HashMap::new(),
            requests: 0,
        }
    }

    /// Sends a request over the connection to its entry; none if the entry cannot be reached.
    pub(crate) async fn send(&mut self, plan: Plan) -> Option<Sent> {
        let mut connection = self.connection(plan).await?;
        self.requests += 1;
        let id = format!("{}-{}", self.name, self.requests);
        let req = request(&id, plan);
        let sent_at = time::Instant::now();
        let exchange = exchange(&mut connection, req, &id, plan.read_pause);
        let outcome = tokio::time::timeout(plan.deadline + PATIENCE, exchange).await;
        let outcome = outcome.unwrap_or(Outcome::Silent);
        if matches!(outcome, Outcome::Answered(_)) {
            self.connections.insert(plan.entry, connection);
        }
        Some(Sent {
            id,
            plan,
            sent_at,
            ended_at: time::Instant::now(),
            outcome,
        })
    }

    /// Returns the kept connection to an entry, or a new one.
    async fn connection(&mut self, plan: Plan) -> Option<Connection> {
        if let Some(mut kept) = self.connections.remove(&plan.entry)
            && kept.ready().await.is_ok()
        {
            return Some(kept);
        }
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        if plan.read_pause.is_some() {
            socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
        }
        let address = entry::front(self.ips[plan.entry]);
        let stream = socket.connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (connection, driver) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
        task::spawn(driver);
        Some(connection)
    }
}

fn request(id: &str, plan: Plan) -> http::Request<http_body_util::Full<Bytes>> {
    let mut req = http::Request::builder()
        .method(if plan.has_body { "POST" } else { "GET" })
        .uri(plan.kind.path())
        .header("host", fixture::HOST)
        .header("request-id", id)
        .header("deadline-ms", plan.deadline.as_millis().to_string());
    if plan.kind != Kind::Open {
        req = req.header("api-key", fixture::KEY);
    }
    let body = if plan.has_body { BODY } else { "" };
    req.body(Bytes::from(body).into()).unwrap()
}

async fn exchange(
    connection: &mut Connection,
    req: http::Request<http_body_util::Full<Bytes>>,
    id: &str,
    read_pause: Option<time::Duration>,
) -> Outcome {
    let res = match connection.send_request(req).await {
        Ok(res) => res,
        Err(e) => return Outcome::Closed(e.to_string()),
    };
    let status = res.status();
    match read(res.into_body(), read_pause).await {
        Err(e) => Outcome::Broken(format!("{status}: {e}")),
        Ok(body) => check_body(status, &body, id),
    }
}

async fn read(
    mut body: body::Incoming,
    pause: Option<time::Duration>,
) -> Result<Vec<u8>, hyper::Error> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        buf.extend_from_slice(frame?.data_ref().unwrap_or(&Bytes::new()));
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(buf)
}

fn check_body(status: http::StatusCode, body: &[u8], id: &str) -> Outcome {
    let text = String::from_utf8_lossy(body);
    if status == http::StatusCode::OK && !text.contains(&format!("{id} done")) {
        return Outcome::Broken(format!("{status}: not the answer to {id}"));
    }
    Outcome::Answered(status.as_u16())
}

/// Clients that send requests until they are told to finish.
#[derive(Debug)]
pub(crate) struct Load {
    is_over: sync::Arc<atomic::AtomicBool>,
    clients: Vec<task::JoinHandle<Vec<Sent>>>,
}

impl Load {
    /// Starts clients; `plan` gives the next request from the numbers of client and request.
    pub(crate) fn start<P>(clients: u64, ips: &[net::Ipv4Addr], plan: P) -> Self
    where
        P: Clone + FnMut(u64, u64) -> Plan + Send + 'static,
    {
        let is_over = sync::Arc::new(atomic::AtomicBool::new(false));
        let clients = (0..clients).map(|number| {
            let client = Client::open(ips);
            let mut plan = plan.clone();
            let next = move |request| plan(number, request);
            task::spawn(run(client, next, sync::Arc::clone(&is_over)))
        });
        Self {
            clients: clients.collect(),
            is_over,
        }
    }

    /// Ends the load after the requests in flight and returns all requests.
    pub(crate) async fn finish(self) -> Vec<Sent> {
        self.is_over.store(true, atomic::Ordering::Relaxed);
        let mut all = Vec::new();
        for client in self.clients {
            all.extend(client.await.unwrap());
        }
        all
    }
}

async fn run(
    mut client: Client,
    mut next: impl FnMut(u64) -> Plan,
    is_over: sync::Arc<atomic::AtomicBool>,
) -> Vec<Sent> {
    let mut all = Vec::new();
    while !is_over.load(atomic::Ordering::Relaxed) {
        let number = u64::try_from(all.len()).unwrap();
        match client.send(next(number)).await {
            Some(sent) => all.push(sent),
            None => tokio::time::sleep(RECONNECT_DELAY).await,
        }
    }
    all
}

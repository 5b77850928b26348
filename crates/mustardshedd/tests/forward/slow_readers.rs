//! Clients that stop reading their streams, or leave while events are held for them.

use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::{body, client::conn::http1};
use hyper_util::rt;
use tokio::{net, task};

use crate::{fixture, metrics, server};

/// Number of events of a stream: more bytes than sockets with small buffers take, fewer than may be
/// read ahead.
const EVENTS: u64 = 16;
const READ_AHEAD_BYTES: usize = 1024 * 1024;
/// Size of the client's buffers, in bytes.
const CLIENT_BYTES: u32 = 16 * 1024;
/// Segment size of the client's connection, which keeps the entry's send buffer small.
const SEGMENT_BYTES: u32 = 1_000;

/// An entry before a server with scripted streams.
struct Streams {
    server: server::Server,
    entry: fixture::Entry,
    _platform: fixture::Fixture,
}

/// A client that has got the head of a stream and reads no further than it is asked to.
struct Client {
    body: body::Incoming,
    connection: task::JoinHandle<()>,
    text: String,
}

impl Streams {
    /// Starts an entry and a server that responds with these last events, after which streams end
    /// or break off.
    async fn open(read_ahead_bytes: usize, responses: &[(u64, bool)]) -> Self {
        let server = server::Server::bind("i-1").await;
        let f = fixture::Fixture::with(&[&server]).await;
        let entry = f.entry_with_read_ahead("entry-1", read_ahead_bytes).await;
        for (last, ends) in responses.iter().copied() {
            server.respond_with(server::Response::LargeEvents { last, ends });
        }
        Self {
            server,
            entry: entry.ready().await,
            _platform: f,
        }
    }

    async fn client(&self) -> Client {
        let socket = net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(CLIENT_BYTES).unwrap();
        let options = socket2::SockRef::from(&socket);
        options.set_tcp_mss(SEGMENT_BYTES).unwrap();
        let stream = socket.connect(self.entry.cx.settings.front).await.unwrap();
        let handshake = http1::handshake(rt::TokioIo::new(stream));
        let (mut tx, connection) = handshake.await.unwrap();
        let connection = tokio::spawn(async move { drop(connection.await) });
        let req = http::Request::post("/stream/a")
            .header("host", fixture::HOST)
            .header("api-key", fixture::KEY)
            .header("request-id", "r-1")
            .body(String::new());
        Client {
            body: tx.send_request(req.unwrap()).await.unwrap().into_body(),
            connection,
            text: String::new(),
        }
    }

    /// Returns the value of a metric, of the samples with this label if one is given.
    fn metric(&self, name: &str, label: &str) -> usize {
        let cx = &self.entry.cx;
        let text = String::from_utf8(cx.metrics.encode(cx).unwrap()).unwrap();
        metrics::sum(&text, &format!("mustardshed_{name}"), label) as usize
    }

    /// Waits until the client has taken nothing for a second.
    async fn wait_until_slow(&self) {
        let is_slow = || self.metric("slow_clients", "") == 1;
        fixture::wait_until("the client to count as slow", is_slow).await;
    }

    async fn wait_until_server_is_done(&self, requests: usize) {
        let is_done = || self.server.got().len() == requests && self.server.open_connections() == 0;
        fixture::wait_until("the server's connections to end", is_done).await;
    }

    /// Waits until nothing is held for requests and connections of clients.
    async fn wait_until_released(&self) {
        let cx = &self.entry.cx;
        fixture::wait_until("everything to be released", || {
            let held = self.metric("read_ahead_bytes", "") + self.metric("slow_clients", "");
            cx.in_flight() == 0 && cx.memory.held() == 0 && held == 0
        })
        .await;
    }

    /// Takes all memory that holders can do without; returns how much that is.
    fn exhaust_memory(&self) -> usize {
        let budget = &self.entry.cx.memory;
        let (held, mut more) = (budget.held(), budget.limit());
        while more > 0 {
            if !budget.try_add_spare(0, more) {
                more /= 2;
            }
        }
        budget.held() - held
    }
}

impl Client {
    /// Reads until an event has arrived; returns false if the response breaks off.
    async fn read_until(&mut self, event: u64) -> bool {
        let event = format!("id: {event}\n");
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else { return false };
            let data = frame.into_data().unwrap();
            self.text.push_str(str::from_utf8(&data).unwrap());
            if self.text.contains(&event) {
                break;
            }
        }
        true
    }

    /// Reads the rest; returns the identifiers of all events and whether the stream is complete.
    async fn read_all(&mut self) -> (Vec<u64>, bool) {
        let is_whole = self.read_until(u64::MAX).await;
        let lines = self.text.lines();
        let ids = lines.filter_map(|line| line.strip_prefix("id: "));
        (ids.map(|id| id.parse().unwrap()).collect(), is_whole)
    }
}

// Guards against a slot of a server that stays taken until the client has read its response.
#[gtest]
#[tokio::test]
async fn client_that_stops_reading_does_not_keep_the_servers_response_open() -> Result<()> {
    let f = Streams::open(READ_AHEAD_BYTES, &[(EVENTS, true)]).await;

    let mut client = f.client().await;
    f.wait_until_server_is_done(1).await;
    f.wait_until_slow().await;
    let held = f.metric("read_ahead_bytes", "");
    let counted = f.entry.cx.memory.held();
    let seen = client.read_all().await;

    expect_that!(held, all![gt(0), le(READ_AHEAD_BYTES)]);
    expect_that!(counted, ge(held));
    expect_that!(seen, eq(&((1..=EVENTS).collect(), true)));
    f.wait_until_released().await;
    verify_that!(f.metric("read_ahead_total", "begun"), eq(1))
}

// Guards against events that wait for another task although the client is ready for them.
#[gtest]
#[tokio::test]
async fn nothing_is_held_for_a_client_that_reads_in_time() -> Result<()> {
    let f = Streams::open(READ_AHEAD_BYTES, &[(1, true)]).await;

    let seen = f.client().await.read_all().await;

    expect_that!(seen, eq(&(vec![1], true)));
    verify_that!(f.metric("read_ahead_total", ""), eq(0))
}

// Guards against a process that exceeds its memory, and against a server that stays occupied after
// memory has become free.
#[gtest]
#[tokio::test]
async fn stream_is_read_as_fast_as_its_client_reads_while_there_is_no_memory() -> Result<()> {
    let f = Streams::open(READ_AHEAD_BYTES, &[(2 * EVENTS, true)]).await;
    let taken = f.exhaust_memory();

    let mut client = f.client().await;
    f.wait_until_slow().await;
    let is_refused = f.metric("read_ahead_total", "no_memory") == 1;
    client.read_until(EVENTS).await;
    let begun = f.metric("read_ahead_total", "begun");
    f.entry.cx.memory.remove(taken);
    f.wait_until_server_is_done(1).await;
    let seen = client.read_all().await;

    expect_that!((is_refused, begun), eq((true, 0)));
    verify_that!(seen, eq(&((1..=2 * EVENTS).collect(), true)))
}

#[gtest]
#[tokio::test]
async fn client_that_leaves_releases_what_is_held_and_the_servers_connection() -> Result<()> {
    const LIMIT_BYTES: usize = 64 * 1024;
    let f = Streams::open(LIMIT_BYTES, &[(100 * EVENTS, true)]).await;
    let client = f.client().await;
    // The limit may be reached before the sockets are full, which take more events then.
    f.wait_until_slow().await;
    let held = f.metric("read_ahead_bytes", "");

    client.connection.abort();

    let most = LIMIT_BYTES + server::LARGE_EVENT_BYTES + 1_000;
    expect_that!(held, all![ge(LIMIT_BYTES), lt(most)]);
    expect_that!(f.metric("read_ahead_total", "limit"), eq(1));
    f.wait_until_server_is_done(1).await;
    f.wait_until_released().await;
    Ok(())
}

// Guards against events that are lost or repeated because the client has not got them yet.
#[gtest]
#[tokio::test]
async fn stream_that_breaks_off_while_read_ahead_is_resumed_after_the_last_event_held() -> Result<()>
{
    for ends in [true, false] {
        let f = Streams::open(READ_AHEAD_BYTES, &[(10, false), (EVENTS, ends)]).await;

        let mut client = f.client().await;
        f.wait_until_server_is_done(2).await;
        let (ids, is_whole) = client.read_all().await;

        let resumed = &f.server.got()[1];
        // The connection drops what it has not written when the response fails.
        let least = if ends { EVENTS } else { EVENTS - 2 };
        expect_that!(resumed.header("last-event-id"), some(eq("10")));
        expect_that!(is_whole, eq(ends));
        expect_that!(ids.len() as u64, all![ge(least), le(EVENTS)]);
        expect_that!(ids, eq(&(1..=ids.len() as u64).collect::<Vec<_>>()));
    }
    Ok(())
}

//! Servers that send bytes without end, until the connection is closed.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{
    fixture,
    server::{self, Response},
};

/// Most bytes that an entry may read of an endless response, including those in the buffers of both
/// sockets.
const MAX_READ_BYTES: usize = 24 * 1024 * 1024;
/// Size of each write, in bytes.
const WRITE_BYTES: usize = 16 * 1024;

/// A server that sends `begin` and then repeats `piece` until the connection is closed.
struct Endless {
    server: server::Server,
    sent: sync::Arc<atomic::AtomicUsize>,
    closed: sync::Arc<atomic::AtomicUsize>,
}

impl Endless {
    async fn bind(id: &str, begin: &'static str, piece: &str, pause: time::Duration) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = sync::Arc::<atomic::AtomicUsize>::default();
        let closed = sync::Arc::<atomic::AtomicUsize>::default();
        let counts = (sync::Arc::clone(&sent), sync::Arc::clone(&closed));
        let piece = if pause.is_zero() {
            piece.repeat(WRITE_BYTES.div_ceil(piece.len()))
        } else {
            piece.to_owned()
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent, closed) = (sync::Arc::clone(&counts.0), sync::Arc::clone(&counts.1));
                let piece = piece.clone();
                tokio::spawn(async move {
                    if send(stream, begin, &piece, pause, &sent).await {
                        closed.fetch_add(1, atomic::Ordering::Relaxed);
                    }
                });
            }
        });
        Self {
            server: listed_at(id, address).await,
            sent,
            closed,
        }
    }

    fn sent(&self) -> usize {
        self.sent.load(atomic::Ordering::Relaxed)
    }

    fn closed(&self) -> usize {
        self.closed.load(atomic::Ordering::Relaxed)
    }
}

/// Returns a server that is listed with another address.
async fn listed_at(id: &str, address: net::SocketAddr) -> server::Server {
    let mut server = server::Server::bind(id).await;
    server.address = address;
    server
}

/// Answers the request of a connection until that is closed. Returns false if none came: an entry
/// also connects to see whether the server has crashed.
async fn send(
    mut stream: tokio::net::TcpStream,
    begin: &str,
    piece: &str,
    pause: time::Duration,
    sent: &atomic::AtomicUsize,
) -> bool {
    let mut req = vec![0; WRITE_BYTES];
    if stream.read(&mut req).await.unwrap_or(0) == 0 {
        return false;
    }
    if stream.write_all(begin.as_bytes()).await.is_err() {
        return true;
    }
    while stream.write_all(piece.as_bytes()).await.is_ok() {
        sent.fetch_add(piece.len(), atomic::Ordering::Relaxed);
        tokio::time::sleep(pause).await;
    }
    true
}

const OK: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n";
const OK_CHUNKED: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\nTransfer-Encoding: chunked\r\n\r\n";
const OK_UNTIL_CLOSE: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\nConnection: close\r\n\r\n";

/// Sends a call to a server whose response never ends; returns what the client received. Checks
/// that the entry closed the connection and counted a failure of the server.
async fn call(begin: &'static str, piece: &str) -> (fixture::ClientResponse, Endless) {
    let endless = Endless::bind("i-1", begin, piece, time::Duration::ZERO).await;
    let f = fixture::Fixture::with(&[&endless.server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let seen = f.send(&entry, "POST", "/once/a", "").await;
    fixture::wait_until("the connection to be closed", || endless.closed() == 1).await;
    let failures = {
        let now = entry.cx.now();
        entry.cx.state().loads.health("i-1").failure_score(now)
    };
    expect_that!(failures, gt(0.0));
    (seen, endless)
}

#[gtest]
#[tokio::test]
async fn endless_header_line_is_aborted() -> Result<()> {
    let (seen, endless) = call(OK, "x").await;

    expect_that!(seen.status, eq(502));
    verify_that!(endless.sent(), le(MAX_READ_BYTES))
}

#[gtest]
#[tokio::test]
async fn endless_headers_are_aborted() -> Result<()> {
    let (seen, endless) = call(OK, "X-More: 1\r\n").await;

    expect_that!(seen.status, eq(502));
    verify_that!(endless.sent(), le(MAX_READ_BYTES))
}

#[gtest]
#[tokio::test]
async fn endless_interim_responses_are_aborted() -> Result<()> {
    let (seen, endless) = call("", "HTTP/1.1 102 Processing\r\n\r\n").await;

    expect_that!(seen.status, eq(502));
    verify_that!(endless.sent(), le(MAX_READ_BYTES))
}

#[gtest]
#[tokio::test]
async fn endless_garbage_is_aborted() -> Result<()> {
    let (seen, endless) = call("", "\u{0}\u{1}\u{2}").await;

    expect_that!(seen.status, eq(502));
    verify_that!(endless.sent(), le(MAX_READ_BYTES))
}

#[gtest]
#[tokio::test]
async fn endless_body_is_aborted() -> Result<()> {
    let (seen, endless) = call(OK_UNTIL_CLOSE, "x").await;

    expect_that!(seen.status, eq(502));
    verify_that!(endless.sent(), le(MAX_READ_BYTES))
}

#[gtest]
#[tokio::test]
async fn endless_chunk_size_is_aborted() -> Result<()> {
    let (seen, endless) = call(OK_CHUNKED, "0").await;

    expect_that!(seen.status, eq(502));
    verify_that!(endless.sent(), le(MAX_READ_BYTES))
}

#[gtest]
#[tokio::test]
async fn endless_trailers_are_aborted() -> Result<()> {
    let begin = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                 Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n";

    let (seen, endless) = call(begin, "X-More: 1\r\n").await;

    expect_that!(seen.status, eq(502));
    verify_that!(endless.sent(), le(MAX_READ_BYTES))
}

#[gtest]
#[tokio::test]
async fn endless_event_breaks_the_stream_off_and_another_server_resumes_it() -> Result<()> {
    let endless = Endless::bind("i-1", OK_UNTIL_CLOSE, "x", time::Duration::ZERO).await;
    let other = server::Server::bind("i-2").await;
    let f = fixture::Fixture::with(&[&endless.server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    other.respond_with(Response::Events {
        ids: vec![1, 2],
        ends: true,
    });

    let sending = f.send(&entry, "POST", "/stream/a", "");
    let (seen, ()) = tokio::join!(sending, f.list(&other, "ready", "north"));

    expect_that!(seen.status, any![eq(200), eq(502)]);
    fixture::wait_until("the connection to be closed", || endless.closed() >= 1).await;
    verify_that!(endless.sent(), le(MAX_READ_BYTES))
}

#[gtest]
#[tokio::test]
async fn stream_that_only_trickles_bytes_is_resumed_at_another_server() -> Result<()> {
    let begin = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                 Connection: close\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: ";
    let pause = time::Duration::from_millis(50);
    let endless = Endless::bind("i-1", begin, "x", pause).await;
    let other = server::Server::bind("i-2").await;
    let f = fixture::Fixture::with(&[&endless.server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    other.respond_with(Response::Events {
        ids: vec![2, 3],
        ends: true,
    });

    let sending = f.send(&entry, "POST", "/stream/a", "");
    let listing = async {
        fixture::wait_until("the stream to begin", || endless.sent() > 0).await;
        f.list(&other, "ready", "north").await;
    };
    let (seen, ()) = tokio::join!(sending, listing);

    expect_that!((seen.status, seen.is_whole), eq((200, true)));
    expect_that!(
        seen.body.as_str(),
        eq("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n")
    );
    fixture::wait_until("the connection to be closed", || endless.closed() == 1).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn slow_but_healthy_stream_is_not_aborted() -> Result<()> {
    let begin = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                 Connection: close\r\n\r\nid: 1\ndata: e1\n\n";
    let pause = time::Duration::from_millis(700);
    let slow = Endless::bind("i-1", begin, ": still reading\n\n", pause).await;
    let f = fixture::Fixture::with(&[&slow.server]).await;
    let entry = f.entry("entry-1").await.ready().await;

    {
        let sending = f.send(&entry, "POST", "/stream/a", "");
        tokio::pin!(sending);
        let events = fixture::wait_until("some events", || {
            slow.sent() > 5 * ": still reading\n\n".len()
        });
        tokio::select! {
            _ = &mut sending => panic!("the stream was aborted"),
            () = events => {}
        }
    }

    fixture::wait_until("the connection to be closed", || slow.closed() == 1).await;
    Ok(())
}

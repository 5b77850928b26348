//! The listener that the stand-ins share: how it ends.

#![expect(clippy::unwrap_used, reason = "fixtures of tests")]

use std::time;

use googletest::prelude::*;
use mustardshed_standins::http;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net,
};
use warp::Filter;

/// Longest wait for an answer or an end; far longer than a loaded machine needs.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

async fn server() -> http::Server {
    let routes = warp::any().map(|| http::json(200, &"hello")).boxed();
    http::Server::bind("127.0.0.1:0".parse().unwrap(), routes)
        .await
        .unwrap()
}

/// Sends a request on a connection that is kept; returns the bytes of the answer, if there is one.
async fn call(stream: &mut net::TcpStream) -> usize {
    let sent = stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    let mut buf = [0; 1_024];
    let reading = tokio::time::timeout(TIMEOUT, stream.read(&mut buf));
    match sent {
        Ok(()) => reading.await.unwrap().unwrap_or_default(),
        Err(_) => 0,
    }
}

/// Waits until a connection ends without another byte; returns whether it has.
async fn is_ended(stream: &mut net::TcpStream) -> bool {
    let reading = tokio::time::timeout(TIMEOUT, stream.read_u8());
    matches!(reading.await, Ok(Err(_)))
}

// Guards against tests of an outage in which the platform goes on answering on open connections.
#[tokio::test]
async fn dropped_server_answers_no_more_on_open_connections() {
    let server = server().await;
    let mut stream = net::TcpStream::connect(server.address()).await.unwrap();
    let before = call(&mut stream).await;

    drop(server);
    let is_ended = is_ended(&mut stream).await;
    let after = call(&mut stream).await;

    assert_that!(before, gt(0));
    assert_that!(is_ended, eq(true));
    assert_that!(after, eq(0));
}

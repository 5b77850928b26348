//! Closing the listener for callers.

use std::{
    io::{Read, Write},
    net, sync, time,
};

use googletest::prelude::*;
use mustardshedd::forward::listeners;
use tokio::task;

use crate::{
    fixture,
    server::{self, Response},
};

/// Port of a listener on the address of an entry, beside the entry's own.
const PORT: u16 = 8_011;
/// Connections that are opened at once, fewer than the kernel's queue holds.
const CONNECTIONS: usize = 20;

/// Binds a listener for callers that runs on the test's own thread.
async fn bind(entry: &fixture::Entry) -> (listeners::Listener, net::SocketAddr) {
    let address = net::SocketAddr::new(entry.cx.settings.front.ip(), PORT);
    let cx = sync::Arc::clone(&entry.cx);
    let listener = listeners::bind(cx, address, listeners::Purpose::Traffic).await;
    (listener.unwrap(), address)
}

/// Connects and sends a request without giving the listener the time to accept.
fn send(address: net::SocketAddr, id: usize) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(fixture::TIMEOUT)).unwrap();
    let (host, key) = (fixture::HOST, fixture::KEY);
    let head = format!(
        "POST /once/a HTTP/1.1\r\nhost: {host}\r\nrequest-id: r-{id}\r\napi-key: {key}\r\n\
         deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// Reads until the connection ends; an error if it is reset.
fn read_all(mut stream: net::TcpStream) -> std::io::Result<String> {
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

// Guards against requests that are lost with connections that the kernel has accepted and the
// entry has not when it closes its listener (LOST).
#[gtest]
#[tokio::test]
async fn connections_in_the_queue_of_a_closing_listener_are_answered() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let (mut listener, address) = bind(&entry).await;

    let streams: Vec<net::TcpStream> = (0..CONNECTIONS).map(|i| send(address, i)).collect();
    listener.close().await;
    let answers: Vec<_> = streams.into_iter().map(read_all).collect();

    let is_answered = |answer: &std::io::Result<String>| {
        let text = answer.as_deref().unwrap_or_default();
        text.starts_with("HTTP/1.1 200") && text.ends_with("done")
    };
    expect_that!(
        answers.iter().filter(|it| is_answered(it)).count(),
        eq(CONNECTIONS)
    );
    verify_that!(listener.open_connections(), eq(0))
}

// Guards against answers that are cut because the entry closes its connections (LOST).
#[gtest]
#[tokio::test]
async fn closing_listener_waits_for_the_answers_of_busy_connections_only() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let (mut listener, address) = bind(&entry).await;
    let begun_at = time::Instant::now();

    server.respond_with(Response::Whole(200, "kept open"));
    let idle = send(address, 0);
    fixture::wait_until("the first call to end", || server.got().len() == 1).await;
    server.respond_with(Response::Silent);
    let busy = send(address, 1);
    fixture::wait_until("the second call to reach the server", || {
        server.got().len() == 2
    })
    .await;
    let idle = task::spawn_blocking(move || read_all(idle));
    let busy = task::spawn_blocking(move || read_all(busy));
    listener.close().await;

    expect_that!(idle.await.unwrap().unwrap(), ends_with("kept open"));
    let busy = busy.await.unwrap().unwrap();
    expect_that!(busy, starts_with("HTTP/1.1 50"));
    expect_that!(busy, ends_with("may have run\n"));
    verify_that!(begun_at.elapsed(), lt(fixture::TIMEOUT))
}

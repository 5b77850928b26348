//! Invalid input from clients, peers and the platform.

use std::{
    io::{Read, Write},
    net,
};

use googletest::prelude::*;
use serde_json::json;

use crate::{fixture, server};

/// Sends bytes on a new connection and returns the status line of the response.
async fn raw(address: net::SocketAddr, bytes: &'static [u8]) -> String {
    let exchange = move || {
        let mut stream = net::TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(fixture::TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut buf = [0; 64];
        let length = stream.read(&mut buf).unwrap_or(0);
        let text = String::from_utf8_lossy(&buf[..length]).into_owned();
        text.lines().next().unwrap_or_default().to_owned()
    };
    tokio::task::spawn_blocking(exchange).await.unwrap()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_violate_limits_or_protocol_get_an_error_response() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let address = entry.cx.settings.front;
    let long = "x".repeat(1_001);

    let too_large = f.send(&entry, "POST", "/once/a", &long).await;
    let no_id = raw(
        address,
        b"GET /open/a HTTP/1.1\r\nHost: shed.example\r\n\r\n",
    )
    .await;
    let two_lengths = raw(
        address,
        b"POST /open/a HTTP/1.1\r\nHost: shed.example\r\nRequest-Id: r\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    )
    .await;
    let bad_chunk = raw(
        address,
        b"POST /open/a HTTP/1.1\r\nHost: shed.example\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
    )
    .await;
    let not_http = raw(
        address,
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    )
    .await;

    expect_that!(too_large.status, eq(413));
    for status in [no_id, two_lengths, bad_chunk, not_http] {
        expect_that!(status, starts_with("HTTP/1.1 400"));
    }
    verify_that!(server.got().len(), eq(0))
}

#[gtest]
#[tokio::test]
async fn invalid_configuration_does_not_replace_the_one_in_force() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;

    f.write("config", "main", json!({ "version": "seven" }))
        .await;
    f.write("config", "other", json!([1, 2])).await;
    f.configure(9, &[fixture::KEY]).await;
    fixture::wait_until("version 9", || {
        entry.cx.routes().is_some_and(|r| r.version == 9)
    })
    .await;

    let seen = f.send(&entry, "GET", "/again/a", "").await;

    verify_that!(seen.status, eq(200))
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_data_on_the_peer_port_does_not_affect_links() -> Result<()> {
    let f = fixture::Fixture::with(&[]).await;
    let first = f.entry("entry-1").await.ready().await;
    raw(
        first.cx.settings.peers,
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    )
    .await;
    raw(first.cx.settings.peers, b"\x00\xff\x00\xff\r\n\r\n").await;

    let second = f.entry("entry-2").await.ready().await;
    fixture::wait_until("the entries to find each other", || {
        first.cx.fronts().len() == 2 && second.cx.fronts().len() == 2
    })
    .await;

    Ok(())
}

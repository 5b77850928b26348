//! Ordinary clients beside a crowd.

use std::{io, time};

use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net,
};

use crate::{
    crowd::{Crowd, Sort},
    entry, fixture, run,
};

/// Clients whose connections are more than the descriptors of the process.
const CONNECTIONS: usize = 600;
/// Pieces of an ordinary body.
const PIECES: usize = 40;
/// Size of each, in bytes.
const PIECE_BYTES: usize = 25;

/// Sends a request whose body comes in pieces, and reads its response; returns the status.
async fn exchange(
    stream: &mut net::TcpStream,
    id: &str,
    interval: time::Duration,
) -> io::Result<u16> {
    let size = PIECES * PIECE_BYTES;
    let head = format!(
        "POST /sound/a HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nContent-Length: {size}\r\n\r\n",
        fixture::HOST,
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..PIECES {
        stream.write_all(&[b'x'; PIECE_BYTES]).await?;
        tokio::time::sleep(interval).await;
    }
    read_response(stream).await
}

/// Reads a response to its end; returns its status.
async fn read_response(stream: &mut net::TcpStream) -> io::Result<u16> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
    let mut rest = vec![0; (end + length).saturating_sub(buf.len())];
    stream.read_exact(&mut rest).await?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(status.unwrap())
}

// Guards against connections kept alive by ordinary callers that are closed for a crowd.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_are_kept_alive_outlast_a_crowd() -> Result<()> {
    let _alone = run::ONE_AT_A_TIME.lock().await;
    let f = run::open().await;
    let front = entry::front(f.entry.ip);
    let mut stream = net::TcpStream::connect(front).await?;
    let before = exchange(&mut stream, "before", time::Duration::ZERO).await?;

    let mut crowd = Crowd::start(front, Sort::Silent, CONNECTIONS);
    crowd.sent(run::SEND_TIMEOUT).await;
    let after = exchange(&mut stream, "after", time::Duration::ZERO).await;

    expect_that!(before, eq(200));
    verify_that!(after, ok(eq(&200)))
}

// Guards against slow but honest uploads that are cut beside a crowd.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_honest_upload_beside_a_crowd_is_served() -> Result<()> {
    const INTERVAL: time::Duration = time::Duration::from_millis(100);
    let _alone = run::ONE_AT_A_TIME.lock().await;
    let f = run::open().await;
    let front = entry::front(f.entry.ip);
    let mut crowd = Crowd::start(front, Sort::EndlessHead, CONNECTIONS);
    crowd.sent(run::SEND_TIMEOUT).await;

    let mut stream = net::TcpStream::connect(front).await?;
    let status = exchange(&mut stream, "slow", INTERVAL).await;

    verify_that!(status, ok(eq(&200)))
}

//! Responses that break off, and bytes after a response.

use std::time;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{fixture, server};

/// Largest request that the server reads, in bytes.
const MAX_REQUEST: usize = 16 * 1024;

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
    /// The connection stays open for a while.
    Open,
}

/// Starts a server that sends `answer` on each connection, whatever the request is.
async fn raw(id: &str, answer: &'static str, end: End) -> server::Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut server = server::Server::bind(id).await;
    server.address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut req = vec![0; MAX_REQUEST];
                let read = stream.read(&mut req).await;
                if read.is_err() || stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                match end {
                    End::Close => {}
                    End::Reset => {
                        // Lets the entry read what was sent before the reset.
                        tokio::time::sleep(time::Duration::from_millis(50)).await;
                        let socket = socket2::SockRef::from(&stream);
                        socket.set_linger(Some(time::Duration::ZERO)).unwrap();
                    }
                    End::Open => tokio::time::sleep(time::Duration::from_secs(5)).await,
                }
            });
        }
    });
    server
}

async fn call(answer: &'static str, end: End) -> fixture::ClientResponse {
    let server = raw("i-1", answer, end).await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    f.send(&entry, "POST", "/once/a", "").await
}

#[gtest]
#[tokio::test]
async fn response_that_breaks_off_never_looks_complete() -> Result<()> {
    let with_length = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                       Content-Length: 10\r\n\r\nhalf";
    let chunked = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                   Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let until_close = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                       Connection: close\r\n\r\nhalf";

    expect_that!(call(with_length, End::Close).await.status, eq(502));
    expect_that!(call(chunked, End::Close).await.status, eq(502));
    verify_that!(call(until_close, End::Reset).await.status, eq(502))
}

#[gtest]
#[tokio::test]
async fn response_without_length_that_ends_with_its_connection_is_complete() -> Result<()> {
    let until_close = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                       Connection: close\r\n\r\nwhole";

    let seen = call(until_close, End::Close).await;

    verify_that!((seen.status, seen.body.as_str()), eq((200, "whole")))
}

#[gtest]
#[tokio::test]
async fn second_response_on_a_connection_is_discarded() -> Result<()> {
    let twice = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                 Content-Length: 4\r\n\r\ndone\
                 HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                 Content-Length: 6\r\n\r\nsecond";
    let server = raw("i-1", twice, End::Open).await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;

    let first = f.send(&entry, "POST", "/once/a", "").await;
    let next = f.send(&entry, "POST", "/once/a", "").await;

    expect_that!((first.status, first.body.as_str()), eq((200, "done")));
    verify_that!((next.status, next.body.as_str()), eq((200, "done")))
}

#[gtest]
#[tokio::test]
async fn restarted_entry_uses_no_revoked_key_and_no_removed_server() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let before = f.entry("entry-1").await.ready().await;
    expect_that!(f.send(&before, "POST", "/once/a", "").await.status, eq(200));
    drop(before);

    f.configure(2, &["key-2"]).await;
    f.remove("servers", "i-1").await;
    let after = f.entry("entry-1").await.ready().await;
    let revoked = f.send(&after, "POST", "/once/a", "").await;
    let open = f.send(&after, "GET", "/open/a", "").await;

    expect_that!((revoked.status, open.status), eq((401, 503)));
    verify_that!(server.got().len(), eq(1))
}

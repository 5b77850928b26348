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
    scripted(id, Vec::new(), (answer, end)).await
}

/// Starts a server that sends one of `first` on each of the first connections, then `rest`.
async fn scripted(
    id: &str,
    first: Vec<(&'static str, End)>,
    rest: (&'static str, End),
) -> server::Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut server = server::Server::bind(id).await;
    server.address = listener.local_addr().unwrap();
    let mut first = first.into_iter();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, end) = first.next().unwrap_or(rest);
            tokio::spawn(serve(stream, answer, end));
        }
    });
    server
}

async fn serve(mut stream: tokio::net::TcpStream, answer: &'static str, end: End) {
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

// Guards against a repeated refusal that is taken for the answer to a later request, which then
// counts as not run though it has run (REFUSED), or runs twice (TWICE).
#[gtest]
#[tokio::test]
async fn refusal_that_a_server_repeats_answers_no_later_request() -> Result<()> {
    let refused_twice = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-1\r\n\
                         Not-Executed: 1\r\nContent-Length: 0\r\n\r\n\
                         HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-1\r\n\
                         Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let done = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                Content-Length: 4\r\n\r\ndone";
    let first = vec![(refused_twice, End::Open)];
    let server = scripted("i-1", first, (done, End::Open)).await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;

    let mut seen = Vec::new();
    for _ in 0..3 {
        let response = f.send(&entry, "POST", "/once/a", "").await;
        seen.push((response.status, response.body));
    }

    verify_that!(seen, each(eq(&(200, "done".to_owned()))))
}

// Guards against a refusal of another request that is passed on as "not run" (REFUSED).
#[gtest]
#[tokio::test]
async fn refusal_of_another_request_does_not_count_as_not_run() -> Result<()> {
    let earlier = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-0\r\n\
                   Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

    verify_that!(call(earlier, End::Close).await.status, eq(502))
}

// Guards against the text of an error in the middle of a stream, and against a stream that looks
// complete because an error has ended it (ORDER, MIXED).
#[gtest]
#[tokio::test]
async fn error_of_the_server_that_is_to_resume_a_stream_is_not_passed_on() -> Result<()> {
    let begun = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                 10\r\nid: 1\ndata: e1\n\n\r\n";
    let with_length = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r-1\r\n\
                       Server-Stamp: signed\r\nContent-Length: 6\r\n\r\nboom\n\n";
    let until_close = "HTTP/1.1 502 Bad Gateway\r\nRequest-Id: r-1\r\n\
                       Server-Stamp: signed\r\nConnection: close\r\n\r\nboom\n\n";
    let empty = "HTTP/1.1 504 Gateway Timeout\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
                 Content-Length: 0\r\n\r\n";
    let not_run = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-1\r\n\
                   Not-Executed: 1\r\nContent-Length: 6\r\n\r\nboom\n\n";
    let unsigned = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 6\r\n\r\nboom\n\n";

    for error in [with_length, until_close, empty, not_run, unsigned] {
        let first = vec![(begun, End::Reset)];
        let server = scripted("i-1", first, (error, End::Close)).await;
        let f = fixture::Fixture::with(&[&server]).await;
        let entry = f.entry("entry-1").await.ready().await;

        let seen = f.send(&entry, "POST", "/stream/a", "").await;

        expect_that!(seen.body.as_str(), eq("id: 1\ndata: e1\n\n"), "{error}");
        expect_that!((seen.status, seen.is_whole), eq((200, false)), "{error}");
    }
    Ok(())
}

// Guards against a success with an empty or short body for a response whose head broke off (MIXED).
#[gtest]
#[tokio::test]
async fn response_whose_head_breaks_off_is_no_success() -> Result<()> {
    let heads = [
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\nContent-Length: 4\r",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\nContent-Length: 4\r\n\r",
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
         Transfer-Encoding: chu",
    ];

    for head in heads {
        for path in ["/once/a", "/stream/a"] {
            let server = raw("i-1", head, End::Close).await;
            let f = fixture::Fixture::with(&[&server]).await;
            let entry = f.entry("entry-1").await.ready().await;

            let seen = f.send(&entry, "POST", path, "").await;

            expect_that!(seen.status, eq(502), "{path}: {head}");
        }
    }
    Ok(())
}

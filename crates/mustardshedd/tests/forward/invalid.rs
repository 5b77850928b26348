//! Invalid answers of servers: to idempotent calls, calls that run once and streams.

use std::time;

use bytes::Bytes;
use googletest::prelude::*;
use mustardshedd::forward::{dial, tunnel, upstream};
use serde_json::json;

use crate::{
    fixture,
    invalid_server::{Answer, End, Server},
};

/// Size of an upload that does not fit into the buffers of its connections, in bytes.
const UPLOAD_BYTES: usize = 6 * 1024 * 1024;
/// Limit on request bodies, which the upload is within.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
const SIGNED: &str = "Request-Id: r-1\r\nServer-Stamp: signed\r\n";
/// Two events, of which the second one is torn.
const EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata";

fn answer(head: &str, body: &str, end: End) -> Answer {
    Answer {
        bytes: format!("HTTP/1.1 {head}\r\n{SIGNED}\r\n{body}"),
        is_after_upload: true,
        end,
    }
}

/// Returns an answer that is sent while the upload is still being written.
fn early(head: &str, body: &str, end: End) -> Answer {
    Answer {
        is_after_upload: false,
        ..answer(head, body, end)
    }
}

/// Sends a request with a body of this size to a server with an invalid answer. Returns the status
/// and the body that its client got, whether the body is whole, and the requests at the server.
async fn send(path: &str, bad: &Answer, body_bytes: usize) -> (u16, String, bool, usize) {
    let server = Server::bind("i-1", bad.clone()).await;
    let f = fixture::Fixture::empty().await;
    let account = json!({ "name": "chapel", "api_keys": [fixture::KEY] });
    f.configure_with_limit(1, json!([account]), MAX_BODY_BYTES)
        .await;
    f.list(&server.listed, "ready", "north").await;
    let entry = f.entry("entry-1").await.ready().await;
    let body = "x".repeat(body_bytes);
    let seen = f.send(&entry, "POST", path, &body).await;
    // A success of the second attempt resets the server's failures.
    if seen.status == 502 {
        let now = entry.cx.now();
        let failures = entry.cx.state().loads.health("i-1").failure_score(now);
        expect_that!(failures, gt(0.0), "{bad:?}");
    }
    (seen.status, seen.body, seen.is_whole, server.requests())
}

/// Checks that an invalid answer is not passed on: a call that runs once gets 502 after a single
/// attempt, and an idempotent call and a stream get the answer of the second.
async fn expect_failure(bad: &Answer, stream_body: &str, body_bytes: usize) {
    let once = send("/once/a", bad, body_bytes).await;
    let again = send("/again/a", bad, body_bytes).await;
    let stream = send("/stream/a", bad, body_bytes).await;

    expect_that!(
        (once.0, once.2, once.3),
        eq((502, true, 1)),
        "once: {bad:?}"
    );
    let done = (200, "done".to_owned(), true, 2);
    expect_that!(again, eq(&done), "again: {bad:?}");
    let resumed = (200, stream_body.to_owned(), true, 2);
    expect_that!(stream, eq(&resumed), "stream: {bad:?}");
}

/// Body of a stream that another answer completes after the first event.
const RESUMED: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
/// Body of a stream whose first answer was not passed on.
const REPEATED: &str = "id: 2\ndata: e2\n\n";

// Guards against a part of a response that its client takes for all of it.
#[gtest]
#[tokio::test]
async fn response_without_length_that_is_reset_during_the_upload_is_a_failure() -> Result<()> {
    let reset = early("200 OK", EVENTS, End::Reset);

    expect_failure(&reset, RESUMED, UPLOAD_BYTES).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn response_without_length_that_ends_during_the_upload_is_a_failure() -> Result<()> {
    let whole_events = "id: 1\ndata: e1\n\n";
    let closed = early("200 OK", whole_events, End::CloseThenReset);

    expect_failure(&closed, RESUMED, UPLOAD_BYTES).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn response_without_length_that_is_reset_after_the_upload_is_a_failure() -> Result<()> {
    let reset = answer("200 OK", EVENTS, End::Reset);

    expect_failure(&reset, RESUMED, UPLOAD_BYTES).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn chunked_response_without_its_last_chunk_is_a_failure() -> Result<()> {
    let chunk = "10\r\nid: 1\ndata: e1\n\n\r\n";
    for end in [End::Close, End::Reset] {
        let unfinished = answer("200 OK\r\nTransfer-Encoding: chunked", chunk, end);
        expect_failure(&unfinished, RESUMED, 10).await;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn response_that_is_shorter_than_its_length_is_a_failure() -> Result<()> {
    for end in [End::Close, End::Reset] {
        let short = answer("200 OK\r\nContent-Length: 100", "id: 1\ndata: e1\n\n", end);
        expect_failure(&short, RESUMED, 10).await;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn status_outside_100_to_599_is_a_failure() -> Result<()> {
    for status in ["000", "099", "600", "999"] {
        let head = format!("{status} Trouble\r\nContent-Length: 4");
        let invalid = answer(&head, "boom", End::Close);
        expect_failure(&invalid, REPEATED, 10).await;
    }
    Ok(())
}

// Guards against a second run of a call that may run only once: its client repeats it after a status
// which promises that it has not run (REFUSED).
#[gtest]
#[tokio::test]
async fn status_of_a_rejection_without_a_proof_is_a_failure() -> Result<()> {
    for status in ["408 Slow", "429 Busy", "503 Failed"] {
        let failed = answer(
            &format!("{status}\r\nContent-Length: 6"),
            "failed",
            End::Close,
        );
        expect_failure(&failed, REPEATED, 10).await;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn status_that_promises_nothing_is_passed_on() -> Result<()> {
    for status in [400, 404, 500, 502, 504] {
        let failed = answer(
            &format!("{status} Failed\r\nContent-Length: 6"),
            "failed",
            End::Close,
        );

        let seen = send("/once/a", &failed, 10).await;

        expect_that!((seen.0, seen.1.as_str(), seen.3), eq((status, "failed", 1)));
    }
    Ok(())
}

// Guards against a response that ends a client's connection as if the client had asked for another
// protocol.
#[gtest]
#[tokio::test]
async fn switch_to_another_protocol_is_a_failure() -> Result<()> {
    let head = "101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other";
    let switched = answer(head, "", End::Close);

    expect_failure(&switched, REPEATED, 10).await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn interim_responses_without_end_are_a_failure() -> Result<()> {
    let interim = Answer {
        bytes: "HTTP/1.1 102 Processing\r\n\r\n".repeat(100_000),
        is_after_upload: true,
        end: End::Close,
    };

    expect_failure(&interim, REPEATED, 10).await;
    Ok(())
}

// Guards against a length that is passed on although chunks override it.
#[gtest]
#[tokio::test]
async fn response_with_a_length_and_chunks_is_read_by_its_chunks() -> Result<()> {
    let head = "200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked";
    let both = answer(head, "10\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n", End::Close);
    let whole = "id: 1\ndata: e1\n\n".to_owned();

    for path in ["/once/a", "/again/a", "/stream/a"] {
        let seen = send(path, &both, 10).await;
        expect_that!(seen, eq(&(200, whole.clone(), true, 1)), "{path}");
    }
    Ok(())
}

/// Sends an upload through a peer's tunnel to a server with this answer; returns what arrives of
/// the response's body.
async fn send_through_peer(bad: &Answer) -> std::result::Result<Bytes, upstream::Broken> {
    let server = Server::bind("i-1", bad.clone()).await;
    let f = fixture::Fixture::with(&[&server.listed]).await;
    let peer = f.entry("entry-1").await.ready().await;
    let address = peer.cx.settings.peers.to_string();
    let opening = tunnel::open(&address, "i-1").await;
    let io = opening.unwrap_or_else(|e: dial::Failure| panic!("no tunnel: {e}"));
    let connection = upstream::Connection::open(Box::new(io)).await.unwrap();
    let body = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
    let req = http::Request::post("/a").body(upstream::RequestBody::new(body));
    let sending = connection.send(req.unwrap());
    let sent = tokio::time::timeout(time::Duration::from_secs(10), sending).await;
    let (response, _task) = match sent.unwrap() {
        Ok(answered) => answered,
        Err(e) => return Err(e.to_string().into()),
    };
    let reading = upstream::read_whole(response.into_body(), 1_000, &peer.cx.memory);
    let read = tokio::time::timeout(time::Duration::from_secs(10), reading);
    read.await.unwrap()
}

// Guards against a reset that the peer notices while it writes the upload, and then reports as the
// server's end of its response.
#[gtest]
#[tokio::test]
async fn response_through_a_peer_that_is_reset_is_a_failure() -> Result<()> {
    for _ in 0..5 {
        let during = send_through_peer(&early("200 OK", "half", End::Reset)).await;
        expect_that!(during, err(anything()), "during the upload");
    }
    let after = send_through_peer(&answer("200 OK", "half", End::Reset)).await;

    verify_that!(after, err(anything()))
}

#[gtest]
#[tokio::test]
async fn response_through_a_peer_that_ends_during_the_upload_is_a_failure() -> Result<()> {
    let seen = send_through_peer(&early("200 OK", "half", End::CloseThenReset)).await;

    verify_that!(seen, err(anything()))
}

#[gtest]
#[tokio::test]
async fn response_through_a_peer_that_ends_with_its_connection_is_complete() -> Result<()> {
    let seen = send_through_peer(&answer("200 OK", "whole", End::Close)).await;

    verify_that!(seen, ok(eq(b"whole".as_slice())))
}

#[gtest]
#[tokio::test]
async fn invalid_report_of_an_engine_is_a_failure() -> Result<()> {
    let invalid = answer("600 Trouble\r\nContent-Length: 0", "", End::Close);
    let server = Server::bind("i-1", invalid).await;
    let f = fixture::Fixture::empty().await;
    f.configure_engine(1).await;
    f.list(&server.listed, "ready", "north").await;

    let entry = f.entry("entry-1").await.ready().await;

    fixture::wait_until("a failure of the server", || {
        let now = entry.cx.now();
        entry.cx.state().loads.health("i-1").failure_score(now) > 0.0
    })
    .await;
    Ok(())
}

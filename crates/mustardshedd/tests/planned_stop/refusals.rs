//! Refusals of requests whose bodies are still on their way.

use std::{net, time};

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{client, entry, fixture};

/// Time from the signal to the requests.
const REQUESTS_AFTER: time::Duration = time::Duration::from_millis(500);
/// Number of pieces in which a body is sent.
const PIECES: usize = 6;
/// Size of a piece, in bytes.
const PIECE_BYTES: usize = 100;
/// Time between the pieces of a body.
const PIECE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Sends a request whose body arrives in pieces, and returns all that is received until the end of
/// the connection.
async fn post_in_pieces(
    address: net::SocketAddr,
    path: &str,
    key: &str,
) -> std::result::Result<String, String> {
    let stream = tokio::net::TcpStream::connect(address).await;
    let mut stream = stream.map_err(|e| format!("connect: {e}"))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\nrequest-id: late-body\r\ndeadline-ms: 3000\r\n\
         api-key: {key}\r\ncontent-length: {}\r\n\r\n",
        fixture::HOST,
        PIECES * PIECE_BYTES,
    );
    let written = stream.write_all(head.as_bytes()).await;
    written.map_err(|e| format!("head: {e}"))?;
    for number in 0..PIECES {
        tokio::time::sleep(PIECE_INTERVAL).await;
        if let Err(e) = stream.write_all(&[b'x'; PIECE_BYTES]).await {
            let mut received = String::new();
            let read = stream.read_to_string(&mut received).await;
            return Err(format!("piece {number}: {e}, then {read:?}, {received:?}"));
        }
    }
    let mut received = String::new();
    let read = stream.read_to_string(&mut received).await;
    read.map_err(|e| format!("read: {e}, after {received:?}"))?;
    Ok(received)
}

// Guards against a refusal that is lost because the connection is reset under the request's body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_during_a_planned_stop_reach_clients_that_still_send() {
    let f = fixture::Fixture::open(time::Duration::from_millis(100)).await;
    let mut entry = f.entry().await;
    let front = entry::front(entry.ip);

    let asking = async {
        tokio::time::sleep(REQUESTS_AFTER).await;
        tokio::join!(
            post_in_pieces(front, "/nowhere/", fixture::KEY),
            post_in_pieces(front, "/once/order", "unknown"),
        )
    };
    let (stop, (to_nowhere, with_wrong_key)) = tokio::join!(entry.stop(), asking);

    assert_that!(to_nowhere, ok(starts_with("HTTP/1.1 404")));
    assert_that!(with_wrong_key, ok(starts_with("HTTP/1.1 401")));
    assert_that!(
        f.check(&Vec::<client::Sent>::new(), &[stop]).faults(),
        is_empty()
    );
}

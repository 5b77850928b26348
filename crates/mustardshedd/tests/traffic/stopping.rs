//! Planned stops: every request that reached the listener is answered before it closes.

use std::{
    io::{Read, Write},
    net, time,
};

use googletest::prelude::*;

use crate::fakes::entry;

/// Longest wait for a stop or an answer; far longer than a loaded machine needs.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Number of callers that send a request at the moment of the stop.
const CALLERS: usize = 20;
/// Pause between two bytes of a body that never ends.
const TRICKLE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Returns a request as it is sent, of which `body` is the body so far.
fn request_of(length: usize, body: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}",
        entry::KEY
    )
}

/// Connects and sends a request without letting the entry run.
fn sent(addr: net::SocketAddr) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(addr).unwrap();
    send(&mut stream);
    stream
}

fn send(stream: &mut net::TcpStream) {
    let req = request_of(entry::PROMPT.len(), entry::PROMPT);
    stream.write_all(req.as_bytes()).unwrap();
}

/// Reads until the entry closes the connection; empty if that was without an answer.
fn answer(mut stream: net::TcpStream) -> String {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut buf = Vec::new();
    // A reset connection has no further answer.
    let _ = stream.read_to_end(&mut buf);
    String::from_utf8_lossy(&buf).into_owned()
}

/// Reads one answer and leaves the connection open.
async fn first_answer(mut stream: net::TcpStream) -> net::TcpStream {
    let reading = tokio::task::spawn_blocking(move || {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut buf = [0; 4_096];
        assert_ne!(stream.read(&mut buf).unwrap(), 0);
        stream
    });
    reading.await.unwrap()
}

async fn stop(entry: entry::Entry) -> bool {
    entry.server.begin_drain();
    let stopped = tokio::time::timeout(TIMEOUT, entry.server.shutdown()).await;
    stopped.is_ok()
}

// Guards against requests cut at a planned stop that the system had accepted and the entry had not.
#[gtest]
#[tokio::test]
async fn request_that_waits_to_be_accepted_at_the_stop_is_answered() -> Result<()> {
    let entry = entry::Entry::start().await;
    let addr = entry.server.local_addr();
    let streams: Vec<_> = (0..CALLERS).map(|_| sent(addr)).collect();

    let is_stopped = stop(entry).await;

    verify_that!(is_stopped, eq(true))?;
    for stream in streams {
        verify_that!(answer(stream), contains_substring("entry_leaving"))?;
    }
    Ok(())
}

// Guards against requests cut at a planned stop that arrived on a connection that was kept open.
#[gtest]
#[tokio::test]
async fn request_on_a_kept_connection_at_the_stop_is_answered() -> Result<()> {
    let entry = entry::Entry::start().await;
    let addr = entry.server.local_addr();
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        streams.push(first_answer(sent(addr)).await);
    }
    streams.iter_mut().for_each(send);

    let is_stopped = stop(entry).await;

    verify_that!(is_stopped, eq(true))?;
    for stream in streams {
        verify_that!(answer(stream), contains_substring("entry_leaving"))?;
    }
    Ok(())
}

// Guards against a planned stop that lasts as long as a caller goes on sending one body.
#[gtest]
#[tokio::test]
async fn body_that_never_ends_is_refused_at_the_stop() -> Result<()> {
    let entry = entry::Entry::start().await;
    let mut stream = net::TcpStream::connect(entry.server.local_addr()).unwrap();
    let req = request_of(1_000_000, "{");
    stream.write_all(req.as_bytes()).unwrap();
    let mut sending = stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        while sending.write_all(b" ").is_ok() {
            std::thread::sleep(TRICKLE_INTERVAL);
        }
    });
    // The entry is reading the body when it is told to stop.
    entry.complete(entry::PROMPT, 5_000).await;

    let is_stopped = stop(entry).await;
    let seen = answer(stream.try_clone().unwrap());
    stream.shutdown(net::Shutdown::Both).unwrap_or_default();
    sender.join().unwrap();

    verify_that!(is_stopped, eq(true))?;
    verify_that!(seen, contains_substring("entry_leaving"))?;
    verify_that!(seen, contains_substring("not_run"))
}

// Guards against requests sent on a kept connection just as its entry closes it.
#[gtest]
#[tokio::test]
async fn leaving_entry_ends_a_kept_connection_with_its_next_answer() -> Result<()> {
    let entry = entry::Entry::start().await;
    let before = entry.complete(entry::PROMPT, 5_000).await;

    entry.control.change(|s| s.leaving = true);
    let accepted = entry.complete(entry::PROMPT, 5_000).await;
    entry.server.begin_drain();
    let refused = entry.complete(entry::PROMPT, 5_000).await;

    verify_that!(before.headers.get("connection").is_none(), eq(true))?;
    verify_that!(accepted.status, eq(200))?;
    verify_that!(refused.code(), eq("entry_leaving"))?;
    for response in [accepted, refused] {
        let connection = response.headers.get("connection");
        verify_that!(
            connection.map(|v| v.as_bytes()),
            some(eq(b"close".as_slice()))
        )?;
    }
    Ok(())
}

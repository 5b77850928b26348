//! Clients of an entry.

use std::{net, time};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tokio_net,
};

use crate::{fixture, server};

/// What a client received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Response {
    /// Status; none if the connection ended before.
    pub(crate) status: Option<u16>,
    pub(crate) has_retry_after: bool,
    /// Bytes of the body, as framed.
    pub(crate) received: usize,
    /// Whether the body arrived to its end.
    pub(crate) is_whole: bool,
}

/// A request body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Body {
    /// None.
    Empty,
    /// A body of this size.
    Whole(usize),
    /// A body of this size whose last byte is not sent.
    Unfinished(usize),
}

/// Sends a request on a connection of its own and reads the response to its end.
pub(crate) async fn send(
    front: net::SocketAddr,
    path: &str,
    id: &str,
    body: Body,
) -> std::io::Result<Response> {
    let mut stream = tokio_net::TcpStream::connect(front).await?;
    let (announced, sent) = match body {
        Body::Empty => (0, 0),
        Body::Whole(size) => (size, size),
        Body::Unfinished(size) => (size, size - 1),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\n\
         Connection: close\r\nContent-Length: {announced}\r\n\r\n",
        fixture::HOST,
    );
    stream.write_all(head.as_bytes()).await?;
    let (mut rx, mut tx) = stream.split();
    let sending = async {
        let piece = vec![b'x'; 64 * 1024];
        let mut left = sent;
        while left > 0 {
            let next = left.min(piece.len());
            // The entry may refuse the rest.
            if tx.write_all(&piece[..next]).await.is_err() {
                return;
            }
            left -= next;
        }
    };
    let reading = async {
        let mut buf = Vec::new();
        // What arrived before a break counts.
        drop(rx.read_to_end(&mut buf).await);
        buf
    };
    let ((), buf) = tokio::join!(sending, reading);
    let end = buf.windows(4).position(|window| window == b"\r\n\r\n");
    let (head, body) = buf.split_at(end.map_or(buf.len(), |at| at + 4));
    let head = String::from_utf8_lossy(head).to_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(Response {
        status,
        has_retry_after: head.contains("\r\nretry-after:"),
        received: body.len(),
        is_whole: is_whole(&head, body),
    })
}

/// Returns whether a body arrived to its end, and with the bytes that servers send if its length was
/// announced.
fn is_whole(head: &str, body: &[u8]) -> bool {
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    let Some(length) = length else {
        return body.ends_with(b"\r\n0\r\n\r\n");
    };
    let mut bytes = body.iter().enumerate();
    length.trim().parse() == Ok(body.len())
        && bytes.all(|(position, byte)| *byte == server::byte_at(position))
}

/// Sends a request on a connection of its own, and reads nothing of the response.
pub(crate) async fn begin(front: net::SocketAddr, path: &str, id: &str) -> tokio_net::TcpStream {
    let mut stream = tokio_net::TcpStream::connect(front).await.unwrap();
    let host = fixture::HOST;
    let head = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Sends sound requests one after the other with a pause in between; returns their statuses.
pub(crate) async fn send_sound(front: net::SocketAddr, count: usize) -> Vec<Option<u16>> {
    const INTERVAL: time::Duration = time::Duration::from_millis(50);
    let mut statuses = Vec::new();
    for number in 0..count {
        let id = format!("sound-{number}");
        let response = send(front, "/sound/a", &id, Body::Whole(1_000)).await;
        statuses.push(response.unwrap().status);
        tokio::time::sleep(INTERVAL).await;
    }
    statuses
}

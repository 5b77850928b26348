//! Clients of an entry.

use std::{net, time};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tokio_net,
};

use crate::fixture;

/// What a client received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Response {
    /// Status; none if the connection ended before.
    pub(crate) status: Option<u16>,
    pub(crate) has_retry_after: bool,
    /// Bytes of the body.
    pub(crate) received: usize,
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
        "POST {path} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Connection: close\r\nContent-Length: {announced}\r\n\r\n",
        fixture::HOST,
        fixture::DEADLINE.as_millis(),
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
        let mut head = Vec::new();
        let mut received = 0;
        let mut buf = vec![0; 64 * 1024];
        loop {
            let read = rx.read(&mut buf).await.unwrap_or(0);
            if read == 0 {
                return (head, received);
            }
            if head.windows(4).any(|window| window == b"\r\n\r\n") {
                received += read;
                continue;
            }
            head.extend_from_slice(&buf[..read]);
            if let Some(at) = head.windows(4).position(|window| window == b"\r\n\r\n") {
                received += head.len() - at - 4;
                head.truncate(at + 4);
            }
        }
    };
    let ((), (head, received)) = tokio::join!(sending, reading);
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(Response {
        status,
        has_retry_after: head.contains("\r\nretry-after:"),
        received,
    })
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

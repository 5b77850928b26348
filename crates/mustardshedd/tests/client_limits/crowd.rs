//! Clients that send too much, too slowly, or nothing, and stay.

use std::{io, net, time};

use tokio::{io::AsyncWriteExt, net as tokio_net, task};

use crate::fixture;

/// Size of the largest body that the configuration allows, in bytes.
const LEGAL_BYTES: usize = 4 * 1024 * 1024;
/// Announced size of a body far over the limit, in bytes.
const OVERSIZE_BYTES: usize = 16 * LEGAL_BYTES;
/// Most bytes that a client sends of such a body, which bounds the traffic of a test.
const SENT_OVERSIZE_BYTES: usize = 3 * LEGAL_BYTES;
/// Size of a piece of a large body, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// Time between two pieces of a body that is sent piece by piece.
const PIECE_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Chunks of one byte that are sent at once.
const SMALL_CHUNKS: usize = 20_000;
/// Size of a long body in small chunks, in bytes.
const CHUNKED_BYTES: usize = 1024 * 1024;
/// One of its chunks, as it is sent.
const SMALL_CHUNK: &[u8] = b"7\r\nxxxxxxx\r\n";
/// Size of such a chunk, in bytes.
const SMALL_CHUNK_BYTES: usize = 7;
/// Bytes of a head that are sent at once; below `max_header_bytes`.
const HEAD_BYTES: usize = 12_000;
/// Time between two bytes of a head or body that goes on and does not end.
const DRIP_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between the first packets of two clients: connections that overflow the queue of the kernel
/// are opened again seconds later, and the crowd would not be complete.
const CONNECT_INTERVAL: time::Duration = time::Duration::from_millis(3);
/// One of so many bodies of legal size is sent to its end.
const WHOLE_EVERY: usize = 8;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sort {
    /// Send a body of the largest legal size at once, most without its last byte.
    LargeAtOnce,
    /// Send such a body piece by piece.
    LargeByPieces,
    /// Send such a body in large chunks.
    LargeChunks,
    /// Send a body in chunks of one byte, many at once and then one at a time.
    SmallChunks,
    /// Send a long body in chunks of a few bytes, most without its end.
    LongSmallChunks,
    /// Announce a body far over the limit and send it.
    OversizeAnnounced,
    /// Send a body far over the limit in chunks.
    OversizeChunked,
    /// Send a head that never ends.
    EndlessHead,
    /// Send nothing.
    Silent,
    /// Request a large answer and read nothing of it.
    NeverReads,
}

impl Sort {
    /// Sorts whose bodies are large, long or far over the limit.
    pub(crate) const BODIES: [Self; 6] = [
        Self::LargeAtOnce,
        Self::LargeByPieces,
        Self::LargeChunks,
        Self::LongSmallChunks,
        Self::OversizeAnnounced,
        Self::OversizeChunked,
    ];

    pub(crate) const ALL: [Self; 10] = [
        Self::LargeAtOnce,
        Self::LargeByPieces,
        Self::LargeChunks,
        Self::SmallChunks,
        Self::LongSmallChunks,
        Self::OversizeAnnounced,
        Self::OversizeChunked,
        Self::EndlessHead,
        Self::Silent,
        Self::NeverReads,
    ];

    /// Returns the path of its requests.
    const fn path(self) -> &'static str {
        match self {
            // The answer is sent for as long as the client could read it.
            Self::NeverReads => "/large/a",
            _ => "/other/a",
        }
    }
}

/// A crowd whose connections are closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    clients: task::JoinSet<()>,
    sent: tokio::sync::mpsc::UnboundedReceiver<()>,
}

impl Crowd {
    /// Starts `count` clients of a sort.
    pub(crate) fn start(front: net::SocketAddr, sort: Sort, count: usize) -> Self {
        let (tx, sent) = tokio::sync::mpsc::unbounded_channel();
        let mut clients = task::JoinSet::new();
        for number in 0..count {
            let tx = tx.clone();
            let delay = CONNECT_INTERVAL * u32::try_from(number).unwrap();
            clients.spawn(async move {
                tokio::time::sleep(delay).await;
                if let Ok(mut stream) = tokio_net::TcpStream::connect(front).await {
                    // The entry may close the connection.
                    drop(send(&mut stream, sort, number).await);
                    drop(tx);
                    hold(&mut stream, sort).await;
                }
            });
        }
        Self { clients, sent }
    }

    /// Waits until every client has sent what it sends at once, or was closed, at most for `limit`.
    pub(crate) async fn sent(&mut self, limit: time::Duration) {
        // The channel ends with its last sender.
        drop(tokio::time::timeout(limit, self.sent.recv()).await);
    }

    pub(crate) fn len(&self) -> usize {
        self.clients.len()
    }
}

/// Sends what a client sends at once.
async fn send(stream: &mut tokio_net::TcpStream, sort: Sort, number: usize) -> io::Result<()> {
    let is_whole = number.is_multiple_of(WHOLE_EVERY);
    let size = LEGAL_BYTES - usize::from(!is_whole);
    match sort {
        Sort::LargeAtOnce => {
            stream
                .write_all(&announced(sort, number, LEGAL_BYTES))
                .await?;
            write(stream, size, None).await
        }
        Sort::LargeByPieces => {
            stream
                .write_all(&announced(sort, number, LEGAL_BYTES))
                .await?;
            write(stream, size, Some(PIECE_INTERVAL)).await
        }
        Sort::LargeChunks => {
            stream.write_all(&chunked(sort, number)).await?;
            write_chunks(stream, size).await?;
            let end: &[u8] = if is_whole { b"0\r\n\r\n" } else { b"" };
            stream.write_all(end).await
        }
        Sort::SmallChunks => {
            stream.write_all(&chunked(sort, number)).await?;
            stream.write_all(&b"1\r\nx\r\n".repeat(SMALL_CHUNKS)).await
        }
        Sort::LongSmallChunks => {
            stream.write_all(&chunked(sort, number)).await?;
            let chunks = SMALL_CHUNK.repeat(CHUNKED_BYTES / SMALL_CHUNK_BYTES);
            stream.write_all(&chunks).await?;
            let end: &[u8] = if is_whole { b"0\r\n\r\n" } else { b"" };
            stream.write_all(end).await
        }
        Sort::OversizeAnnounced => {
            stream
                .write_all(&announced(sort, number, OVERSIZE_BYTES))
                .await?;
            write(stream, SENT_OVERSIZE_BYTES, None).await
        }
        Sort::OversizeChunked => {
            stream.write_all(&chunked(sort, number)).await?;
            write_chunks(stream, SENT_OVERSIZE_BYTES).await
        }
        Sort::EndlessHead => {
            let mut head = head(sort, number);
            head.extend_from_slice(b"Filler: ");
            head.resize(HEAD_BYTES, b'x');
            stream.write_all(&head).await
        }
        Sort::Silent => Ok(()),
        Sort::NeverReads => stream.write_all(&announced(sort, number, 0)).await,
    }
}

/// Keeps the connection, and goes on with a byte at a time where the sort does.
async fn hold(stream: &mut tokio_net::TcpStream, sort: Sort) {
    let piece: &[u8] = match sort {
        Sort::SmallChunks => b"1\r\nx\r\n",
        Sort::EndlessHead => b"x",
        _ => return std::future::pending().await,
    };
    while stream.write_all(piece).await.is_ok() {
        tokio::time::sleep(DRIP_INTERVAL).await;
    }
}

/// Returns the head of a request without its end.
fn head(sort: Sort, number: usize) -> Vec<u8> {
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {sort:?}-{number}\r\n",
        sort.path(),
        fixture::HOST,
    );
    head.into_bytes()
}

fn announced(sort: Sort, number: usize, size: usize) -> Vec<u8> {
    let mut head = head(sort, number);
    head.extend_from_slice(format!("Content-Length: {size}\r\n\r\n").as_bytes());
    head
}

fn chunked(sort: Sort, number: usize) -> Vec<u8> {
    let mut head = head(sort, number);
    head.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    head
}

async fn write(
    stream: &mut tokio_net::TcpStream,
    size: usize,
    interval: Option<time::Duration>,
) -> io::Result<()> {
    let piece = vec![b'x'; PIECE_BYTES];
    let mut left = size;
    while left > 0 {
        let next = left.min(piece.len());
        stream.write_all(&piece[..next]).await?;
        left -= next;
        if let Some(interval) = interval {
            tokio::time::sleep(interval).await;
        }
    }
    Ok(())
}

async fn write_chunks(stream: &mut tokio_net::TcpStream, size: usize) -> io::Result<()> {
    let mut left = size;
    while left > 0 {
        let next = left.min(PIECE_BYTES);
        let mut chunk = format!("{next:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + next, b'x');
        chunk.extend_from_slice(b"\r\n");
        stream.write_all(&chunk).await?;
        left -= next;
    }
    Ok(())
}

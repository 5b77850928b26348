//! A server that sends one answer, which may be invalid, and valid answers afterwards.

use std::{
    sync::{self, atomic},
    time,
};

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::server;

/// Size of a read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Time in which the entry reads what was sent before the connection ends.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// An answer with the end of its connection.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) bytes: String,
    /// Whether it is sent after the whole request; otherwise after the first bytes of it, and no
    /// others are read.
    pub(crate) is_after_upload: bool,
    pub(crate) end: End,
}

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    Close,
    Reset,
    /// The server ends its side, and resets the connection later.
    CloseThenReset,
}

/// A running server, and the number of requests that it got.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) listed: server::Server,
    requests: sync::Arc<atomic::AtomicUsize>,
}

impl Server {
    /// Starts a server that answers its first request with `first`, and all others with valid
    /// responses.
    pub(crate) async fn bind(id: &str, first: Answer) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut listed = server::Server::bind(id).await;
        listed.address = listener.local_addr().unwrap();
        let requests = sync::Arc::<atomic::AtomicUsize>::default();
        let counter = sync::Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (counter, first) = (sync::Arc::clone(&counter), first.clone());
                tokio::spawn(serve(stream, counter, first));
            }
        });
        Self { listed, requests }
    }

    pub(crate) fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::Relaxed)
    }
}

async fn serve(
    mut stream: tokio::net::TcpStream,
    requests: sync::Arc<atomic::AtomicUsize>,
    first: Answer,
) {
    let mut buf = vec![0; READ_BYTES];
    // An entry also connects to see whether the server has crashed.
    let read = stream.read(&mut buf).await.unwrap_or(0);
    if read == 0 {
        return;
    }
    buf.truncate(read);
    let answer = if requests.fetch_add(1, atomic::Ordering::Relaxed) == 0 {
        first
    } else {
        valid(&buf)
    };
    if answer.is_after_upload {
        read_rest(&mut stream, &buf).await;
    }
    if stream.write_all(answer.bytes.as_bytes()).await.is_err() {
        return;
    }
    match answer.end {
        End::Close => {}
        End::Reset => reset_later(&stream).await,
        End::CloseThenReset => {
            stream.shutdown().await.unwrap();
            reset_later(&stream).await;
        }
    }
}

async fn reset_later(stream: &tokio::net::TcpStream) {
    tokio::time::sleep(PAUSE).await;
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(time::Duration::ZERO)).unwrap();
}

/// Reads the rest of a request whose first bytes are `begin`.
async fn read_rest(stream: &mut tokio::net::TcpStream, begin: &[u8]) {
    let head = String::from_utf8_lossy(begin).to_ascii_lowercase();
    let head_len = head.find("\r\n\r\n").unwrap() + "\r\n\r\n".len();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
    let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
    let mut left = (head_len + length).saturating_sub(begin.len());
    let mut buf = vec![0; READ_BYTES];
    while left > 0 {
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => left = left.saturating_sub(read),
            _ => return,
        }
    }
}

/// Returns a valid answer to the request that begins so.
fn valid(begin: &[u8]) -> Answer {
    let is_stream = begin.starts_with(b"POST /stream/");
    let body = if is_stream {
        "id: 2\ndata: e2\n\n"
    } else {
        "done"
    };
    Answer {
        bytes: format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nServer-Stamp: signed\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        ),
        is_after_upload: true,
        end: End::Close,
    }
}

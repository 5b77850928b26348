//! Backend servers that send large answers.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tokio_net,
};

/// Size of each write, in bytes.
const WRITE_BYTES: usize = 64 * 1024;
/// Time between two writes of an answer that trickles.
const TRICKLE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// What a server answers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Answer {
    /// A body of this size.
    Whole(usize),
    /// A chunked body that begins with so many bytes and then goes on with a byte at a time.
    Trickle(usize),
    /// A stream whose first event begins with so many bytes and then goes on with a byte at a time.
    TrickledEvent(usize),
    /// A chunked body of chunks of one byte each, sent one at a time.
    Bytes,
    /// A stream of events of this size that does not end.
    Events(usize),
}

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: net::SocketAddr,
    requests: sync::Arc<atomic::AtomicUsize>,
}

impl Server {
    pub(crate) async fn bind(id: &str, answer: Answer) -> Self {
        let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = sync::Arc::<atomic::AtomicUsize>::default();
        let count = sync::Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let count = sync::Arc::clone(&count);
                // A connection that breaks is the entry's decision.
                tokio::spawn(async move { drop(serve(stream, answer, &count).await) });
            }
        });
        Self {
            id: id.to_owned(),
            address,
            requests,
        }
    }

    /// Returns the number of requests received.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::Relaxed)
    }
}

async fn serve(
    mut stream: tokio_net::TcpStream,
    answer: Answer,
    count: &atomic::AtomicUsize,
) -> std::io::Result<()> {
    let Some(id) = read_request(&mut stream).await? else {
        return Ok(());
    };
    count.fetch_add(1, atomic::Ordering::Relaxed);
    let (framing, size) = match answer {
        Answer::Whole(size) => (format!("Content-Length: {size}"), size),
        Answer::Trickle(size) => ("Transfer-Encoding: chunked".to_owned(), size),
        Answer::TrickledEvent(size) | Answer::Events(size) => {
            ("Content-Type: text/event-stream".to_owned(), size)
        }
        Answer::Bytes => ("Transfer-Encoding: chunked".to_owned(), 0),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: signed\r\nConnection: close\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    match answer {
        Answer::Whole(_) => write(&mut stream, size).await,
        Answer::Trickle(_) => {
            stream.write_all(format!("{size:x}\r\n").as_bytes()).await?;
            write(&mut stream, size).await?;
            stream.write_all(b"\r\n").await?;
            trickle(&mut stream, b"1\r\nx\r\n", TRICKLE_INTERVAL).await
        }
        Answer::TrickledEvent(_) => {
            stream.write_all(b"id: 1\ndata: ").await?;
            stream.write_all(&vec![b'x'; size]).await?;
            trickle(&mut stream, b"x", TRICKLE_INTERVAL).await
        }
        Answer::Events(_) => {
            let event = format!("data: {}\n\n", "x".repeat(size));
            loop {
                stream.write_all(event.as_bytes()).await?;
            }
        }
        Answer::Bytes => {
            let interval = time::Duration::from_millis(1);
            trickle(&mut stream, b"1\r\nx\r\n", interval).await
        }
    }
}

/// Reads a request with its body; returns its identifier, none if the connection ends before.
async fn read_request(stream: &mut tokio_net::TcpStream) -> std::io::Result<Option<String>> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).to_lowercase();
    let field = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
    };
    let length: usize = field("content-length:").map_or(0, |value| value.parse().unwrap());
    let mut left = (end + length).saturating_sub(buf.len());
    let mut rest = vec![0; WRITE_BYTES];
    while left > 0 {
        let read = stream.read(&mut rest).await?;
        if read == 0 {
            return Ok(None);
        }
        left = left.saturating_sub(read);
    }
    Ok(field("request-id:"))
}

/// Returns the byte at a position of a body.
pub(crate) fn byte_at(position: usize) -> u8 {
    /// Prime, so that no buffer holds a whole number of periods.
    const PERIOD: usize = 251;
    u8::try_from(position % PERIOD).unwrap()
}

async fn write(stream: &mut tokio_net::TcpStream, size: usize) -> std::io::Result<()> {
    let mut sent = 0;
    while sent < size {
        let end = size.min(sent + WRITE_BYTES);
        let piece: Vec<u8> = (sent..end).map(byte_at).collect();
        stream.write_all(&piece).await?;
        sent = end;
    }
    Ok(())
}

async fn trickle(
    stream: &mut tokio_net::TcpStream,
    piece: &[u8],
    interval: time::Duration,
) -> std::io::Result<()> {
    loop {
        stream.write_all(piece).await?;
        tokio::time::sleep(interval).await;
    }
}

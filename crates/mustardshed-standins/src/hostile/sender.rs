//! Sends an input and reads what comes back.

use std::{net, time};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::Input;

/// Longest wait for an answer or for the connection to be closed.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(45);
/// Start of an answer that holds its status, in bytes.
const STATUS_BYTES: usize = 12;

/// What the receiver did.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reaction {
    /// It answered with this HTTP status.
    Status(u16),
    /// It closed the connection without an HTTP answer.
    Closed,
    /// It neither answered nor closed in time.
    Hung,
    /// It could not be reached.
    Unreachable,
}

/// Sends `input` to `addr` and returns what the receiver did.
pub async fn send(addr: net::SocketAddr, input: &Input) -> Reaction {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return Reaction::Unreachable;
    };
    // The receiver may close while it is still being sent to; its answer counts all the same.
    let _ = stream.write_all(&input.bytes).await;
    if !input.http && !input.slow {
        let _ = stream.shutdown().await;
    }
    match tokio::time::timeout(ANSWER_TIMEOUT, answer(&mut stream)).await {
        Ok(reaction) => reaction,
        Err(_) => Reaction::Hung,
    }
}

async fn answer(stream: &mut TcpStream) -> Reaction {
    let mut buf = Vec::new();
    let mut chunk = [0; STATUS_BYTES];
    while buf.len() < STATUS_BYTES {
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(len) => buf.extend_from_slice(&chunk[..len]),
        }
    }
    status(&buf).map_or(Reaction::Closed, Reaction::Status)
}

fn status(buf: &[u8]) -> Option<u16> {
    let text = std::str::from_utf8(buf.get(..STATUS_BYTES)?).ok()?;
    text.strip_prefix("HTTP/1.1 ")?.parse().ok()
}

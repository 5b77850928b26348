//! Request bodies, bounded in length and time.

use std::time;

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use futures_util::{Stream, StreamExt};
use mustardshed::core::error;
use warp::filters::BoxedFilter;

/// Parts of a body after which the rest of a refused one is no longer read, in multiples of the
/// limit.
const DISCARD_FACTOR: usize = 4;
/// Time for which the rest of a refused body is read, so that its sender sees the answer.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A request body that was not read yet.
pub type Body = std::pin::Pin<Box<dyn Stream<Item = Result<Bytes, warp::Error>> + Send>>;

/// Returns a filter that extracts the body without reading it.
pub fn stream() -> BoxedFilter<(Body,)> {
    use warp::Filter;
    warp::body::stream()
        .map(|body| -> Body { Box::pin(chunks(body)) })
        .boxed()
}

fn chunks<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>> + Send,
) -> impl Stream<Item = Result<Bytes, warp::Error>> + Send {
    body.map(|chunk| chunk.map(|mut buf| buf.copy_to_bytes(buf.remaining())))
}

/// Reads a body of at most `limit` bytes, each part of which must come within `idle_timeout`.
///
/// A body whose length is announced as greater is refused without waiting for it.
///
/// # Errors
///
/// Returns [`error::ErrorKind::TooLarge`] if it is longer, and
/// [`error::ErrorKind::InvalidRequest`] if it breaks off or stands still.
pub async fn read(
    mut body: Body,
    headers: &http::HeaderMap,
    limit: usize,
    idle_timeout: time::Duration,
) -> Result<Bytes, error::Error> {
    let announced = announced_length(headers).unwrap_or_default();
    match read_whole(&mut body, announced, limit, idle_timeout).await {
        Ok(whole) => Ok(whole),
        Err(ReadError::TooLong) => {
            discard(body, limit).await;
            Err(too_large(limit))
        }
        Err(e) => Err(error::Error::not_run(
            error::ErrorKind::InvalidRequest,
            e.to_string(),
        )),
    }
}

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReadError {
    /// the body is too long
    TooLong,
    /// the body broke off
    Truncated,
    /// the body stood still for too long
    TimedOut,
}

/// Reads the parts of a body of at most `limit` bytes, each of which must come within `idle_timeout`.
///
/// # Errors
///
/// Returns why it is not whole; one whose `announced` length is too great is not waited for.
pub async fn read_whole<E>(
    body: &mut (impl Stream<Item = Result<Bytes, E>> + Unpin),
    announced: u64,
    limit: usize,
    idle_timeout: time::Duration,
) -> Result<Bytes, ReadError> {
    if announced > limit as u64 {
        return Err(ReadError::TooLong);
    }
    let mut whole = BytesMut::new();
    loop {
        let next = tokio::time::timeout(idle_timeout, body.next()).await;
        match next.map_err(|_| ReadError::TimedOut)? {
            None => return Ok(whole.freeze()),
            Some(Err(_)) => return Err(ReadError::Truncated),
            Some(Ok(chunk)) if whole.len() + chunk.len() > limit => return Err(ReadError::TooLong),
            Some(Ok(chunk)) => whole.extend_from_slice(&chunk),
        }
    }
}

fn announced_length(headers: &http::HeaderMap) -> Option<u64> {
    let value = headers.get(http::header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Reads and drops the rest of a refused body, within bounds.
pub async fn discard(mut body: Body, limit: usize) {
    let reading = async {
        let mut read = 0_usize;
        while let Some(Ok(chunk)) = body.next().await {
            read += chunk.len();
            if read > limit.saturating_mul(DISCARD_FACTOR) {
                return;
            }
        }
    };
    drop(tokio::time::timeout(DISCARD_TIMEOUT, reading).await);
}

fn too_large(limit: usize) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::TooLarge,
        format!("the body is longer than {limit} bytes"),
    )
}

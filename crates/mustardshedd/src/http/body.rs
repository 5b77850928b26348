//! Request bodies, limited in length and time.

use std::time;

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use futures_util::{Stream, StreamExt};
use mustardshed::core::error;
use warp::filters::BoxedFilter;

use crate::{http::cx, request::cx as request_cx};

/// Bytes of a refused body that are read and dropped at most, in multiples of its limit.
const DISCARD_FACTOR: usize = 4;
/// Longest time for which a refused body is read on, so that its sender sees the response.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// An unread request body.
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

/// Reads the body of a request that is refused once the entry drains, as [`read`] does.
///
/// # Errors
///
/// Returns [`error::ErrorKind::Leaving`] if the drain begins before the body's end, and the errors
/// of [`read`].
pub async fn read_unless_draining(
    cx: &cx::Cx,
    mut body: Body,
    headers: &http::HeaderMap,
) -> Result<Bytes, error::Error> {
    let limits = &cx.limits;
    let limit = limits.max_body_bytes;
    let whole = tokio::select! {
        biased;
        whole = read(&mut body, headers, limit, limits.idle_timeout) => Some(whole),
        () = cx.requests.drain_begun() => None,
    };
    match whole {
        Some(whole) => whole,
        None => {
            discard(&mut body, limit).await;
            Err(request_cx::leaving())
        }
    }
}

/// Reads a body of at most `limit` bytes; each chunk must arrive within `idle_timeout`.
///
/// A body whose `Content-Length` exceeds `limit` is refused without waiting for its end.
///
/// # Errors
///
/// Returns [`error::ErrorKind::TooLarge`] if the body is longer, and
/// [`error::ErrorKind::InvalidRequest`] if it ends early or stalls.
pub async fn read(
    body: &mut Body,
    headers: &http::HeaderMap,
    limit: usize,
    idle_timeout: time::Duration,
) -> Result<Bytes, error::Error> {
    let announced = announced_length(headers).unwrap_or_default();
    let mut whole = BytesMut::new();
    match read_whole(body, &mut whole, announced, limit, idle_timeout).await {
        Ok(()) => Ok(whole.freeze()),
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

/// Why a body could not be read to its end.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReadError {
    /// the body is too long
    TooLong,
    /// the body ended early
    Truncated,
    /// the body stalled for too long
    TimedOut,
    /// no memory is left for the body
    NoMemory,
}

/// Where the chunks of a body are collected.
pub trait Collect {
    /// Returns the number of bytes collected.
    fn collected(&self) -> usize;

    /// Appends a chunk.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::NoMemory`] if there is no memory for it.
    fn collect(&mut self, chunk: &[u8]) -> Result<(), ReadError>;
}

impl Collect for BytesMut {
    fn collected(&self) -> usize {
        self.len()
    }

    fn collect(&mut self, chunk: &[u8]) -> Result<(), ReadError> {
        self.extend_from_slice(chunk);
        Ok(())
    }
}

/// Reads the chunks of a body of at most `limit` bytes into `whole`; each must arrive within
/// `idle_timeout`.
///
/// # Errors
///
/// Returns why the body was not read; if its `announced` length exceeds `limit`, nothing is read.
pub async fn read_whole<E>(
    body: &mut (impl Stream<Item = Result<Bytes, E>> + Unpin),
    whole: &mut impl Collect,
    announced: u64,
    limit: usize,
    idle_timeout: time::Duration,
) -> Result<(), ReadError> {
    if announced > limit as u64 {
        return Err(ReadError::TooLong);
    }
    loop {
        let next = tokio::time::timeout(idle_timeout, body.next()).await;
        match next.map_err(|_| ReadError::TimedOut)? {
            None => return Ok(()),
            Some(Err(_)) => return Err(ReadError::Truncated),
            Some(Ok(chunk)) if whole.collected() + chunk.len() > limit => {
                return Err(ReadError::TooLong);
            }
            Some(Ok(chunk)) => whole.collect(&chunk)?,
        }
    }
}

fn announced_length(headers: &http::HeaderMap) -> Option<u64> {
    let value = headers.get(http::header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Reads and drops the rest of a refused body, up to a limit in bytes and time.
pub async fn discard<E>(body: &mut (impl Stream<Item = Result<Bytes, E>> + Unpin), limit: usize) {
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

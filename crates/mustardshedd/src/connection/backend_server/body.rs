//! Reading of response bodies of bounded length.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use mustardshed::core::boundary::backend_server::BackendServerError;
use serde::de;

use crate::connection::backend_server::failure;

/// Greatest length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Reads the whole body; fails if it exceeds [`MAX_RESPONSE_BYTES`].
pub(super) async fn read(body: body::Incoming) -> Result<Bytes, BackendServerError> {
    let limited = http_body_util::Limited::new(body, MAX_RESPONSE_BYTES);
    let collected = limited.collect().await.map_err(failure::broken)?;
    Ok(collected.to_bytes())
}

/// Reads the whole body and decodes it as JSON.
pub(super) async fn read_json<T: de::DeserializeOwned>(
    body: body::Incoming,
) -> Result<T, BackendServerError> {
    let bytes = read(body).await?;
    serde_json::from_slice(&bytes).map_err(failure::broken)
}

//! An object as sent over HTTP.

use bytes::Bytes;
use mustardshed::platform::objects::wire;

/// Reads the body of a write.
///
/// # Errors
///
/// Returns a reason if the body is not an object.
pub fn written(body: &[u8]) -> Result<wire::Written, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

/// Returns an object as sent to a caller; a deleted one has no value.
#[must_use]
pub fn shown(name: &str, version: u64, value: Option<&Bytes>) -> wire::Item {
    // Every stored value was parsed as JSON before.
    let content = value.and_then(|value| std::str::from_utf8(value).ok());
    wire::Item::new(name, version, content).unwrap_or_else(|_| wire::Item {
        metadata: wire::Metadata {
            name: name.to_owned(),
            revision: version,
        },
        spec: None,
    })
}

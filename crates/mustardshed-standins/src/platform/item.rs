//! An object as it goes over HTTP.

use bytes::Bytes;
use mustardshed::platform::objects::wire;

/// Reads the body of a write.
///
/// # Errors
///
/// Returns a reason if it is no object.
pub fn written(body: &[u8]) -> Result<wire::Written, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

/// Returns an object as a caller sees it; one that was removed holds nothing.
#[must_use]
pub fn shown(name: &str, version: u64, value: Option<&Bytes>) -> wire::Item {
    // Whatever is stored was read as JSON.
    let content = value.and_then(|value| std::str::from_utf8(value).ok());
    wire::Item::new(name, version, content).unwrap_or_else(|_| wire::Item {
        metadata: wire::Metadata {
            name: name.to_owned(),
            revision: version,
        },
        spec: None,
    })
}

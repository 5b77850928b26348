//! An object as it goes over HTTP.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value;

/// An object that a caller writes.
#[derive(Clone, Debug)]
pub struct Written {
    /// Name.
    pub name: String,
    /// Revision that the object must have, if the caller names one.
    pub revision: Option<u64>,
    /// What it holds, as JSON text.
    pub value: Bytes,
}

#[derive(Deserialize)]
struct Body {
    metadata: Metadata,
    spec: Box<value::RawValue>,
}

#[derive(Deserialize)]
struct Metadata {
    name: String,
    #[serde(default)]
    revision: Option<u64>,
}

impl Written {
    /// Reads the body of a write.
    ///
    /// # Errors
    ///
    /// Returns a reason if it is no object.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let body: Body = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        Ok(Self {
            name: body.metadata.name,
            revision: body.metadata.revision,
            value: Bytes::from(body.spec.get().to_owned()),
        })
    }
}

/// Returns an object as a caller sees it; one that was removed holds nothing.
#[must_use]
pub fn json(name: &str, version: u64, value: Option<&Bytes>) -> serde_json::Value {
    // Whatever is stored was read as JSON.
    let spec = value.and_then(|value| serde_json::from_slice(value).ok());
    let spec: serde_json::Value = spec.unwrap_or_default();
    serde_json::json!({
        "metadata": {
            "name": name,
            "revision": version,
            "finalizers": [],
            "deleting": false,
        },
        "spec": spec,
        "status": null,
    })
}

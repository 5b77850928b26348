//! A call of the object API, as counted.

use warp::http;

/// Name counted for a caller without `X-Caller`.
const ANONYMOUS: &str = "anonymous";
/// Purpose counted for a call without `X-Purpose`.
const UNSTATED: &str = "unstated";
/// Longest caller or purpose that is kept, in bytes.
const MAX_LABEL_BYTES: usize = 128;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// Deletes an object.
    Delete,
    /// Reads an object.
    Get,
    /// Lists the objects of a kind.
    List,
    /// Writes an object.
    Put,
    /// Reads the list of VMs.
    Vms,
    /// Watches for newer objects.
    Watch,
}

impl CallKind {
    /// Returns the name under which calls of this kind are counted.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Delete => "delete",
            Self::Get => "get",
            Self::List => "list",
            Self::Put => "put",
            Self::Vms => "vms",
            Self::Watch => "watch",
        }
    }
}

/// Kind, caller and purpose of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Kind of the call.
    pub kind: CallKind,
    /// Name of the caller, from `X-Caller`.
    pub caller: String,
    /// Purpose of the call, from `X-Purpose`.
    pub purpose: String,
}

impl Call {
    /// Reads caller and purpose from a call's headers.
    pub fn new(kind: CallKind, headers: &http::HeaderMap) -> Self {
        Self {
            kind,
            caller: label(headers, "x-caller", ANONYMOUS),
            purpose: label(headers, "x-purpose", UNSTATED),
        }
    }
}

fn label(headers: &http::HeaderMap, name: &str, otherwise: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .filter(|value| !value.is_empty() && value.len() <= MAX_LABEL_BYTES)
        .unwrap_or(otherwise)
        .to_owned()
}

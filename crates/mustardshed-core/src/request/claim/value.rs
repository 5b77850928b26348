//! Content of a claim object.

use std::time;

use crate::{ids, request::fate};

/// Time for which an idempotency key is remembered.
pub const RETENTION: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Content of a claim object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Value {
    /// Request that holds the claim; a writer recognises its own value by it.
    pub request: ids::RequestId,
    /// Digest of method, path and body.
    pub body_digest: [u8; 32],
    /// Time of the claim since the Unix epoch.
    pub created_at: time::Duration,
    /// Final fate, once it is known.
    pub fate: Option<fate::Fate>,
}

impl Value {
    /// Returns whether the key counts as new again at `wall_now` since the Unix epoch.
    pub fn is_expired(&self, wall_now: time::Duration) -> bool {
        wall_now >= self.created_at.saturating_add(RETENTION)
    }
}

/// Returns names and versions of the listed claims that have expired.
pub fn expired<'a>(
    claims: impl Iterator<Item = (&'a str, ids::ObjectVersion, &'a Value)>,
    wall_now: time::Duration,
) -> Vec<(String, ids::ObjectVersion)> {
    claims
        .filter(|(_, _, value)| value.is_expired(wall_now))
        .map(|(name, version, _)| (name.to_owned(), version))
        .collect()
}

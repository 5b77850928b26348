//! The fate of a request, as told by an entry.

use serde::Deserialize;

/// The fate of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Fate {
    /// Identifier of the request.
    pub id: String,
    /// `not_run`, `failed`, `unknown` or `completed`.
    pub outcome: String,
    /// Names of the backend servers that processed it.
    #[serde(default)]
    pub servers: Vec<String>,
}

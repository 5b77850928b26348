//! The fate of a request on the wire.

use bytes::Bytes;
use mustardshed_core::request::fate;

use super::{credit, error, field};

const MAX_SERVERS: usize = 64;

/// A fate on the wire.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Fate {
    request: String,
    account: String,
    outcome: String,
    error: Option<String>,
    servers: Vec<String>,
    answer: Option<StoredResponse>,
}

/// A stored response on the wire.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct StoredResponse {
    status: u16,
    content_type: Option<String>,
    body: Bytes,
}

impl From<fate::Fate> for Fate {
    fn from(fate: fate::Fate) -> Self {
        Self {
            request: fate.request,
            account: fate.account,
            outcome: fate.outcome.as_str().to_owned(),
            error: fate.error.map(|kind| kind.to_response().code.to_owned()),
            servers: fate.servers.into_iter().take(MAX_SERVERS).collect(),
            answer: fate.stored_response.map(StoredResponse::from),
        }
    }
}

impl TryFrom<Fate> for fate::Fate {
    type Error = error::Error;

    fn try_from(fate: Fate) -> Result<Self, Self::Error> {
        if fate.servers.len() > MAX_SERVERS {
            return Err(error::Error::OutOfBounds("servers"));
        }
        Ok(Self {
            request: field::name("request", fate.request)?,
            account: field::name("account", fate.account)?,
            outcome: credit::outcome(&fate.outcome)?,
            error: fate.error.as_deref().map(credit::kind).transpose()?,
            servers: fate.servers,
            stored_response: fate.answer.map(fate::StoredResponse::from),
        })
    }
}

impl From<fate::StoredResponse> for StoredResponse {
    fn from(response: fate::StoredResponse) -> Self {
        Self {
            status: response.status,
            content_type: response.content_type,
            body: response.body,
        }
    }
}

impl From<StoredResponse> for fate::StoredResponse {
    fn from(response: StoredResponse) -> Self {
        Self {
            status: response.status,
            content_type: response.content_type,
            body: response.body,
        }
    }
}

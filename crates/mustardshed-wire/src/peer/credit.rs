//! Credits, feedback and errors on the wire.

use std::time;

use mustardshed_core::{
    boundary::{backend_server, control},
    error as core_error, outcome,
    process::message,
};

use super::{error, field};

/// A request for a credit on the wire; the message around it holds the timeout.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct CreditRequest {
    #[serde(rename = "r")]
    request: String,
    #[serde(rename = "a")]
    account: String,
    #[serde(rename = "s")]
    server: String,
    #[serde(rename = "t")]
    tokens: u64,
    #[serde(rename = "p", default, skip_serializing_if = "field::is_default")]
    prefill_tokens: u64,
    #[serde(rename = "y", default, skip_serializing_if = "field::is_default")]
    priority: u32,
    #[serde(rename = "g", default, skip_serializing_if = "field::is_default")]
    gang: bool,
}

/// Feedback on a request on the wire; an empty name stands for that of the message around it.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Feedback {
    #[serde(rename = "r", default, skip_serializing_if = "field::is_default")]
    request: String,
    #[serde(rename = "s", default, skip_serializing_if = "field::is_default")]
    server: String,
    #[serde(rename = "p", default, skip_serializing_if = "field::is_default")]
    prefill_tokens: u64,
    #[serde(rename = "t", default, skip_serializing_if = "field::is_default")]
    first_token_nanos: Option<u64>,
    #[serde(rename = "e", default, skip_serializing_if = "field::is_default")]
    epoch: Option<u64>,
    #[serde(rename = "f", default, skip_serializing_if = "field::is_default")]
    failure: Option<Failure>,
}

/// A backend server's failure on the wire.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// It refused the request before running any of it.
    Refused(String),
    /// It could not be connected to.
    Unreachable(String),
    /// The connection broke.
    Broken(String),
}

/// A held credit on the wire.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct HeldCredit {
    #[serde(rename = "r")]
    request: String,
    #[serde(rename = "t")]
    tokens: u64,
}

/// An error on the wire; its kind and outcome are sent by their stable names.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Refusal {
    code: String,
    message: String,
    outcome: String,
    retry_after_nanos: Option<u64>,
}

impl From<control::CreditRequest> for CreditRequest {
    fn from(req: control::CreditRequest) -> Self {
        Self {
            request: req.request,
            account: req.account,
            server: req.server,
            tokens: req.tokens,
            prefill_tokens: req.prefill_tokens,
            priority: req.priority,
            gang: req.gang,
        }
    }
}

impl TryFrom<CreditRequest> for control::CreditRequest {
    type Error = error::Error;

    fn try_from(req: CreditRequest) -> Result<Self, Self::Error> {
        Ok(Self {
            request: field::name("request", req.request)?,
            account: field::name("account", req.account)?,
            server: field::name("server", req.server)?,
            tokens: req.tokens,
            prefill_tokens: req.prefill_tokens,
            priority: req.priority,
            wait_until: time::Duration::ZERO,
            gang: req.gang,
        })
    }
}

impl Feedback {
    /// Clears the names that equal those of the message around it.
    pub(super) fn compact(mut self, request: &str, server: &str) -> Self {
        if self.request == request {
            self.request.clear();
        }
        if self.server == server {
            self.server.clear();
        }
        self
    }

    /// Fills empty names in from the message around it.
    pub(super) fn expand(mut self, request: &str, server: &str) -> Self {
        if self.request.is_empty() {
            request.clone_into(&mut self.request);
        }
        if self.server.is_empty() {
            server.clone_into(&mut self.server);
        }
        self
    }
}

impl From<control::Feedback> for Feedback {
    fn from(feedback: control::Feedback) -> Self {
        Self {
            request: feedback.request,
            server: feedback.server,
            prefill_tokens: feedback.prefill_tokens,
            first_token_nanos: feedback.first_token.map(field::to_nanos),
            epoch: feedback.epoch,
            failure: feedback.failure.map(Failure::from),
        }
    }
}

impl TryFrom<Feedback> for control::Feedback {
    type Error = error::Error;

    fn try_from(feedback: Feedback) -> Result<Self, Self::Error> {
        Ok(Self {
            request: field::name("request", feedback.request)?,
            server: field::name("server", feedback.server)?,
            prefill_tokens: feedback.prefill_tokens,
            first_token: feedback.first_token_nanos.map(time::Duration::from_nanos),
            epoch: feedback.epoch,
            failure: feedback.failure.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<backend_server::BackendServerError> for Failure {
    fn from(failure: backend_server::BackendServerError) -> Self {
        use backend_server::BackendServerError;

        match failure {
            BackendServerError::Refused(text) => Self::Refused(field::shorten(text)),
            BackendServerError::Unreachable(text) => Self::Unreachable(field::shorten(text)),
            BackendServerError::Broken(text) => Self::Broken(field::shorten(text)),
        }
    }
}

impl TryFrom<Failure> for backend_server::BackendServerError {
    type Error = error::Error;

    fn try_from(failure: Failure) -> Result<Self, Self::Error> {
        Ok(match failure {
            Failure::Refused(text) => Self::Refused(field::text("failure", text)?),
            Failure::Unreachable(text) => Self::Unreachable(field::text("failure", text)?),
            Failure::Broken(text) => Self::Broken(field::text("failure", text)?),
        })
    }
}

impl From<message::HeldCredit> for HeldCredit {
    fn from(credit: message::HeldCredit) -> Self {
        Self {
            request: credit.request,
            tokens: credit.tokens,
        }
    }
}

impl TryFrom<HeldCredit> for message::HeldCredit {
    type Error = error::Error;

    fn try_from(credit: HeldCredit) -> Result<Self, Self::Error> {
        Ok(Self {
            request: field::name("request", credit.request)?,
            tokens: credit.tokens,
        })
    }
}

impl From<core_error::Error> for Refusal {
    fn from(error: core_error::Error) -> Self {
        Self {
            code: error.kind.to_response().code.to_owned(),
            message: field::shorten(error.message),
            outcome: error.outcome.as_str().to_owned(),
            retry_after_nanos: error.retry_after.map(field::to_nanos),
        }
    }
}

impl TryFrom<Refusal> for core_error::Error {
    type Error = error::Error;

    fn try_from(refusal: Refusal) -> Result<Self, Self::Error> {
        Ok(Self {
            kind: kind(&refusal.code)?,
            message: field::text("message", refusal.message)?,
            outcome: outcome(&refusal.outcome)?,
            retry_after: refusal.retry_after_nanos.map(time::Duration::from_nanos),
        })
    }
}

/// Finds an error kind by its stable code.
pub(super) fn kind(code: &str) -> Result<core_error::ErrorKind, error::Error> {
    core_error::ErrorKind::from_code(code).ok_or(error::Error::UnknownValue("code"))
}

/// Finds an outcome by its stable name.
pub(super) fn outcome(name: &str) -> Result<outcome::Outcome, error::Error> {
    outcome::Outcome::from_name(name).ok_or(error::Error::UnknownValue("outcome"))
}

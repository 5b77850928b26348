//! HTTP client of the entries' operator API.

use std::{fmt, time};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};
use mustardshed::{
    core::{error, version::record},
    wire::{configuration, operator},
};

use super::{Entries, EntryError, ExplainQuery};

/// Size of the largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Error of opening a client.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OpenError {
    /// the operators' key is empty or holds characters that HTTP headers cannot carry
    Key,
}

impl std::error::Error for OpenError {}

type Body = http_body_util::Full<Bytes>;

/// HTTP client of the entries' operator API.
pub struct Client {
    http: legacy::Client<legacy::connect::HttpConnector, Body>,
    authorization: http::HeaderValue,
    timeout: time::Duration,
}

impl Client {
    /// Opens a client that authenticates with `key`; `timeout` bounds each whole call.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is empty or cannot be sent as a header.
    pub fn open(key: &str, timeout: time::Duration) -> Result<Self, OpenError> {
        if key.is_empty() {
            return Err(OpenError::Key);
        }
        let authorization = http::HeaderValue::from_str(&format!("Bearer {key}"));
        let mut authorization = authorization.map_err(|_| OpenError::Key)?;
        authorization.set_sensitive(true);
        Ok(Self {
            http: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
            authorization,
            timeout,
        })
    }

    async fn get(&self, address: &str, path: &str) -> Result<Bytes, EntryError> {
        self.call(http::Method::GET, address, path, Bytes::new())
            .await
    }

    async fn post(
        &self,
        address: &str,
        path: &str,
        record: &record::Record,
    ) -> Result<(), EntryError> {
        let body = configuration::encode(record).map_err(unanswered)?;
        self.call(http::Method::POST, address, path, body.into())
            .await
            .map(drop)
    }

    async fn call(
        &self,
        method: http::Method,
        address: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, EntryError> {
        let req = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::AUTHORIZATION, self.authorization.clone())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Body::new(body))
            .map_err(unanswered)?;
        match tokio::time::timeout(self.timeout, self.send(req)).await {
            Ok(result) => result,
            Err(_) => Err(unanswered("timed out")),
        }
    }

    async fn send(&self, req: http::Request<Body>) -> Result<Bytes, EntryError> {
        let res = self.http.request(req).await.map_err(http_error)?;
        let status = res.status();
        let body = http_body_util::Limited::new(res.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(unanswered)?.to_bytes();
        if status.is_success() {
            Ok(body)
        } else {
            Err(error_response(status, &body))
        }
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

#[async_trait]
impl Entries for Client {
    async fn intent(&self, address: &str, record: &record::Record) -> Result<(), EntryError> {
        self.post(address, "/operator/intent", record).await
    }

    async fn commit(&self, address: &str, record: &record::Record) -> Result<(), EntryError> {
        self.post(address, "/operator/commit", record).await
    }

    async fn status(&self, address: &str) -> Result<operator::Status, EntryError> {
        parse(&self.get(address, "/operator/status").await?)
    }

    async fn request(&self, address: &str, id: &str) -> Result<serde_json::Value, EntryError> {
        let path = format!("/operator/requests/{id}");
        parse(&self.get(address, &path).await?)
    }

    async fn explain(
        &self,
        address: &str,
        query: &ExplainQuery,
    ) -> Result<serde_json::Value, EntryError> {
        let path = format!(
            "/operator/explain?account={}&service={}&tokens={}",
            query.account, query.service, query.tokens
        );
        parse(&self.get(address, &path).await?)
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, EntryError> {
    serde_json::from_slice(body).map_err(|err| EntryError::InvalidResponse {
        status: http::StatusCode::OK.as_u16(),
        reason: err.to_string(),
    })
}

fn error_response(status: http::StatusCode, body: &[u8]) -> EntryError {
    let status = status.as_u16();
    match serde_json::from_slice::<operator::ErrorBody>(body) {
        Ok(body) => EntryError::Refused {
            status,
            code: body.error.code,
            message: body.error.message,
        },
        Err(err) => EntryError::InvalidResponse {
            status,
            reason: err.to_string(),
        },
    }
}

fn http_error(err: legacy::Error) -> EntryError {
    unanswered(error::with_causes(&err))
}

fn unanswered(reason: impl ToString) -> EntryError {
    EntryError::Unanswered(reason.to_string())
}

//! A small client with which tests and programs reach the stand-ins' administration.
//!
//! ```no_run
//! use mustardshed_standins::json_client;
//!
//! # async fn run() -> Result<(), json_client::Error> {
//! let client = json_client::JsonClient::open();
//! let faults = serde_json::json!({ "outage": true });
//! let answer = client.put("http://127.0.0.1:8400/admin/faults", &faults).await?;
//! assert_eq!(answer.status, 200);
//! # Ok(())
//! # }
//! ```

use std::error;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

/// Body of a call.
pub type Body = http_body_util::Full<Bytes>;

/// Why a call has no answer.
#[derive(Debug, Display)]
pub enum Error {
    /// the call cannot be made: {0}
    Request(http::Error),
    /// no answer: {0}
    Send(legacy::Error),
    /// the answer broke off: {0}
    Receive(Box<dyn error::Error + Send + Sync>),
}

impl error::Error for Error {}

/// An answer with its body as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body; `null` if it is no JSON.
    pub body: serde_json::Value,
}

/// A client over pooled connections.
#[derive(Clone, Debug)]
pub struct JsonClient {
    http: legacy::Client<legacy::connect::HttpConnector, Body>,
}

impl JsonClient {
    /// Opens a client; connections are made when they are needed.
    pub fn open() -> Self {
        let http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        Self { http }
    }

    /// Makes a GET call.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no whole answer.
    pub async fn get(&self, url: &str) -> Result<Answer, Error> {
        self.send(http::Request::get(url).body(Body::default()))
            .await
    }

    /// Makes a PUT call.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no whole answer.
    pub async fn put(&self, url: &str, body: &serde_json::Value) -> Result<Answer, Error> {
        self.send(http::Request::put(url).body(body.to_string().into()))
            .await
    }

    /// Makes a POST call.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no whole answer.
    pub async fn post(&self, url: &str, body: &serde_json::Value) -> Result<Answer, Error> {
        self.send(http::Request::post(url).body(body.to_string().into()))
            .await
    }

    /// Makes any call.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is malformed or there is no whole answer.
    pub async fn send(&self, req: http::Result<http::Request<Body>>) -> Result<Answer, Error> {
        let req = req.map_err(Error::Request)?;
        let res = self.http.request(req).await.map_err(Error::Send)?;
        let (parts, body) = res.into_parts();
        let body = http_body_util::Limited::new(body, MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(Error::Receive)?.to_bytes();
        Ok(Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: serde_json::from_slice(&body).unwrap_or_default(),
        })
    }
}

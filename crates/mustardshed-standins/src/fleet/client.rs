//! Small HTTP client for faults, records and probes.

use std::{fmt, time};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{self, connect},
    rt,
};

use super::FleetError;

/// Longest wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// HTTP client.
#[derive(Clone)]
pub struct Client {
    inner: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

/// Status and body of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

impl Client {
    /// Opens a client; connections are made as they are needed.
    pub fn open() -> Self {
        Self {
            inner: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer comes in time.
    pub async fn send(&self, req: http::Request<Full<Bytes>>) -> Result<Answer, FleetError> {
        let method = req.method().to_string();
        let url = req.uri().to_string();
        let failed = |reason: String| FleetError::Call(method.clone(), url.clone(), reason);
        let sending = async {
            let res = self
                .inner
                .request(req)
                .await
                .map_err(|e| failed(e.to_string()))?;
            let status = res.status().as_u16();
            let headers = res.headers().clone();
            let body = res
                .into_body()
                .collect()
                .await
                .map_err(|e| failed(e.to_string()))?
                .to_bytes();
            Ok(Answer {
                status,
                headers,
                body,
            })
        };
        tokio::time::timeout(TIMEOUT, sending)
            .await
            .unwrap_or_else(|_| Err(failed("no answer in time".to_owned())))
    }

    /// Sends JSON and returns the JSON of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer's status is not 2xx or no answer comes in time.
    pub async fn json(
        &self,
        method: &str,
        url: &str,
        body: Option<&serde_json::Value>,
    ) -> Result<serde_json::Value, FleetError> {
        let bytes = body.map(ToString::to_string).unwrap_or_default();
        let failed = |reason: String| FleetError::Call(method.to_owned(), url.to_owned(), reason);
        let req = http::Request::builder()
            .method(method)
            .uri(url)
            .header("content-type", "application/json")
            .body(Full::from(bytes))
            .map_err(|e| failed(e.to_string()))?;
        let answer = self.send(req).await?;
        if !(200..300).contains(&answer.status) {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(failed(format!("{} {body}", answer.status)));
        }
        Ok(answer.json())
    }

    /// Returns the status of an answer, if one comes.
    pub async fn status(&self, method: &str, url: &str) -> Option<u16> {
        let req = http::Request::builder()
            .method(method)
            .uri(url)
            .body(Full::default())
            .ok()?;
        self.send(req).await.ok().map(|answer| answer.status)
    }
}

//! Client for one entry, with the key of one client account.
//!
//! ```no_run
//! use mustardshed_standins::caller;
//!
//! # async fn run() -> Result<(), caller::error::Error> {
//! let caller = caller::Caller::open("http://127.0.0.1:8080", "example-key-of-st-marks");
//! let completion = caller.complete("drafts", "Psalm 23", 16, |text| print!("{text}")).await?;
//! assert!(completion.is_done);
//! # Ok(())
//! # }
//! ```

use std::time;

use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};

use crate::json_client;

pub mod charge;
pub mod completion;
pub mod error;
pub mod event_stream;
pub mod fate;

/// Timeout sent with every completion, in milliseconds.
const DEADLINE_MS: u64 = 60_000;
/// Maximum size of a response that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 1_024 * 1_024;

/// Client for one entry.
#[derive(Clone, Debug)]
pub struct Caller {
    http: legacy::Client<legacy::connect::HttpConnector, json_client::Body>,
    url: String,
    key: String,
}

impl Caller {
    /// Creates a caller; connections are opened on demand.
    pub fn open(url: &str, key: &str) -> Self {
        let http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        Self {
            http,
            url: url.trim_end_matches('/').to_owned(),
            key: key.to_owned(),
        }
    }

    /// Returns the base URL of the entry.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Streams a completion, and passes each chunk of text to `on_text` as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is not a stream of completion chunks.
    pub async fn complete(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
        mut on_text: impl FnMut(&str),
    ) -> Result<completion::Completion, error::Error> {
        let body = serde_json::json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
        });
        let req = self
            .request(http::Method::POST, "/v1/completions")
            .header("x-deadline-ms", DEADLINE_MS)
            .body(body.to_string().into());
        let begun = time::Instant::now();
        let mut res = self.send(req).await?;
        let mut events = event_stream::EventStream::default();
        let mut completion = completion::Completion {
            request_id: header(&res, "x-request-id"),
            ..completion::Completion::default()
        };
        while let Some(frame) = res.body_mut().frame().await {
            let frame = frame.map_err(error::broken)?;
            if let Some(piece) = frame.data_ref() {
                events.push(piece).map_err(error::broken)?;
            }
            while let Some(data) = events.next_data() {
                match completion::Piece::parse(&data).map_err(error::broken)? {
                    completion::Piece::Done => completion.is_done = true,
                    completion::Piece::Text(text, finish_reason) => {
                        if completion.text.is_empty() {
                            completion.first_token_after = begun.elapsed();
                        }
                        on_text(&text);
                        completion.text.push_str(&text);
                        completion.finish_reason = finish_reason.or(completion.finish_reason);
                    }
                }
            }
        }
        completion.whole_after = begun.elapsed();
        Ok(completion)
    }

    /// Sends a call that must not be repeated to a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is not 200.
    pub async fn charge(
        &self,
        path: &str,
        idempotency_key: &str,
        body: &serde_json::Value,
    ) -> Result<charge::Charge, error::Error> {
        let req = self
            .request(http::Method::POST, path)
            .header("idempotency-key", idempotency_key)
            .body(body.to_string().into());
        let res = self.send(req).await?;
        let request_id = header(&res, "x-request-id");
        let answer = read(res).await?;
        Ok(charge::Charge { request_id, answer })
    }

    /// Queries the fate of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not tell the fate.
    pub async fn fate(&self, request_id: &str) -> Result<fate::Fate, error::Error> {
        let path = format!("/v1/requests/{request_id}");
        let req = self.request(http::Method::GET, &path);
        let res = self.send(req.body(json_client::Body::default())).await?;
        let answer = read(res).await?;
        serde_json::from_value(answer).map_err(error::broken)
    }

    fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(http::header::CONTENT_TYPE, "application/json")
    }

    async fn send(
        &self,
        req: http::Result<http::Request<json_client::Body>>,
    ) -> Result<http::Response<hyper::body::Incoming>, error::Error> {
        let req = req.map_err(error::broken)?;
        let res = self.http.request(req).await.map_err(error::broken)?;
        if res.status() == http::StatusCode::OK {
            return Ok(res);
        }
        let status = res.status().as_u16();
        let body = read(res).await.unwrap_or_default();
        Err(error::Error::Refused { status, body })
    }
}

fn header(res: &http::Response<hyper::body::Incoming>, name: &str) -> String {
    let value = res.headers().get(name);
    let value = value.and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn read(
    res: http::Response<hyper::body::Incoming>,
) -> Result<serde_json::Value, error::Error> {
    let body = http_body_util::Limited::new(res.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(error::broken)?.to_bytes();
    serde_json::from_slice(&body).map_err(error::broken)
}

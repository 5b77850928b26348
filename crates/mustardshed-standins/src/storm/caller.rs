//! Sends single calls and records their results.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use hyper_util::{client::legacy, rt};

use super::{attempt, entry_list, note};
use crate::{
    load::{outcome, reader},
    oracle, unix_time,
};

/// Timeout for establishing a connection.
const CONNECT: time::Duration = time::Duration::from_secs(1);
/// How long to wait for a response beyond the deadline.
const GRACE: time::Duration = time::Duration::from_secs(2);
/// Timeout of a query for a fate.
const FATE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Maximum size of a plain service's response, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
const REQUEST_ID: &str = "x-request-id";

type Body = http_body_util::Full<Bytes>;
type HttpClient = legacy::Client<legacy::connect::HttpConnector, Body>;
type Response = http::Response<body::Incoming>;

/// A completion to be sent.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Service.
    pub service: &'static str,
    /// Text.
    pub text: String,
    /// Length of the output, in tokens.
    pub max_tokens: u64,
    /// Timeout of the request.
    pub deadline: time::Duration,
}

/// A charge to be sent.
#[derive(Clone, Debug)]
pub struct ChargeCall {
    /// Idempotency key.
    pub key: String,
    /// Body.
    pub body: Bytes,
    /// Timeout of the request.
    pub deadline: time::Duration,
}

/// Sends calls, each over its own connection.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    key: String,
}

impl Caller {
    /// Creates a caller with the key of a client account.
    pub fn open(key: String) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Self { http, key }
    }

    /// Sends a completion to an entry and compares the response with the oracle's.
    pub async fn complete(&self, prompt: &Prompt, at: entry_list::Choice) -> attempt::Attempt {
        let body = serde_json::json!({
            "model": prompt.service,
            "prompt": prompt.text,
            "max_tokens": prompt.max_tokens,
            "stream": true,
        });
        let req = self
            .post(&at.url, "/v1/completions", prompt.deadline)
            .body(Body::from(body.to_string()));
        let oracle = oracle::Oracle::of_text(&prompt.text);
        let mut reading = reader::Reading::new(time::Instant::now(), oracle, prompt.max_tokens);
        let mut attempt = begin(at, prompt.deadline);
        let exchange = async {
            let resp = match self.send(req).await {
                Ok(resp) => resp,
                Err(outcome) => return outcome,
            };
            attempt.request_id = request_id(&resp);
            reading.read(resp).await
        };
        let ended = tokio::time::timeout(prompt.deadline + GRACE, exchange).await;
        finish(attempt, ended.unwrap_or(outcome::Outcome::NeverTold))
    }

    /// Sends a charge to an entry.
    pub async fn charge(&self, charge: &ChargeCall, at: entry_list::Choice) -> attempt::Attempt {
        let req = self
            .post(&at.url, "/services/payments/charge", charge.deadline)
            .header("idempotency-key", &charge.key)
            .body(Body::new(charge.body.clone()));
        let mut attempt = begin(at, charge.deadline);
        let exchange = async {
            let resp = match self.send(req).await {
                Ok(resp) => resp,
                Err(outcome) => return outcome,
            };
            attempt.request_id = request_id(&resp);
            let status = resp.status();
            let Some(answer) = read(resp).await else {
                return outcome::Outcome::Cut;
            };
            let outcome = outcome_of(status, &answer);
            attempt.answer = Some(answer);
            outcome
        };
        let ended = tokio::time::timeout(charge.deadline + GRACE, exchange).await;
        finish(attempt, ended.unwrap_or(outcome::Outcome::NeverTold))
    }

    /// Asks an entry for the fate of a request.
    pub async fn fate(&self, attempt: attempt::Attempt, asked: &str) -> note::Fate {
        let asked_ms = unix_time::now_ms();
        let url = format!("{asked}/v1/requests/{}", attempt.request_id);
        let req = http::Request::get(url)
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Body::default());
        let exchange = async {
            let resp = self.send(req).await.ok()?;
            Some((resp.status().as_u16(), read(resp).await?))
        };
        let answered = tokio::time::timeout(FATE_TIMEOUT, exchange).await;
        let (status, answer) = answered.ok().flatten().unwrap_or_default();
        note::Fate {
            attempt,
            asked: asked.to_owned(),
            asked_ms,
            status,
            outcome: answer["outcome"].as_str().unwrap_or_default().to_owned(),
        }
    }

    fn post(&self, url: &str, path: &str, deadline: time::Duration) -> http::request::Builder {
        http::Request::post(format!("{url}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header("x-deadline-ms", deadline.as_millis().to_string())
    }

    async fn send(
        &self,
        req: http::Result<http::Request<Body>>,
    ) -> Result<Response, outcome::Outcome> {
        let req = req.map_err(|_| outcome::Outcome::NoConnection)?;
        let sent = self.http.request(req).await;
        sent.map_err(|e| match e.is_connect() {
            true => outcome::Outcome::NoConnection,
            false => outcome::Outcome::Cut,
        })
    }
}

fn begin(at: entry_list::Choice, deadline: time::Duration) -> attempt::Attempt {
    attempt::Attempt {
        entry: at.url,
        request_id: String::new(),
        sent_ms: unix_time::now_ms(),
        ended_ms: 0,
        deadline,
        list_age: at.list_age,
        outcome: outcome::Outcome::NeverTold,
        answer: None,
    }
}

fn finish(mut attempt: attempt::Attempt, outcome: outcome::Outcome) -> attempt::Attempt {
    attempt.ended_ms = unix_time::now_ms();
    attempt.outcome = outcome;
    attempt
}

fn request_id(resp: &Response) -> String {
    let value = resp.headers().get(REQUEST_ID);
    let value = value.and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn read(resp: Response) -> Option<serde_json::Value> {
    let body = http_body_util::Limited::new(resp.into_body(), MAX_ANSWER_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Returns the outcome and code of a response, or its status as the code if it names none.
fn outcome_of(status: http::StatusCode, answer: &serde_json::Value) -> outcome::Outcome {
    if status == http::StatusCode::OK {
        return outcome::Outcome::Completed;
    }
    let code = answer["error"]["code"].as_str();
    outcome::Outcome::Told {
        outcome: answer["outcome"].as_str().unwrap_or("untold").to_owned(),
        code: code.map_or_else(|| format!("status {status}"), str::to_owned),
    }
}

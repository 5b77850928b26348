//! Sends one request and measures its response.

use std::{sync, time};

use bytes::Bytes;
use hyper::body;
use hyper_util::{client::legacy, rt};
use serde::Serialize;

use crate::{
    load::{arrival, directory, outcome, plan, prompt_text, reader, sample},
    oracle,
};

/// Maximum number of connection attempts per request.
const MAX_CONNECTIONS: u32 = 3;
/// Timeout for establishing a connection.
const CONNECT: time::Duration = time::Duration::from_secs(1);
/// How long to wait for a response beyond the deadline.
const GRACE: time::Duration = time::Duration::from_secs(10);

type Body = http_body_util::Full<Bytes>;
type HttpClient = legacy::Client<legacy::connect::HttpConnector, Body>;

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u64,
    stream: bool,
}

/// Request with its encoded body, ready to be sent.
#[derive(Debug)]
pub(super) struct Prepared {
    pub(super) arrival: arrival::Arrival,
    body: Bytes,
    oracle: oracle::Oracle,
}

impl Prepared {
    /// Builds the request of an arrival.
    pub(super) fn of_arrival(plan: &plan::Plan, arrival: arrival::Arrival) -> Self {
        let prompt = prompt_text::text_of(&arrival);
        let completion = Completion {
            model: &plan.model,
            prompt: &prompt,
            max_tokens: plan.output_tokens,
            stream: true,
        };
        // Cannot fail: strings and numbers can always be encoded as JSON.
        let body = serde_json::to_vec(&completion).unwrap_or_default();
        Self {
            arrival,
            body: Bytes::from(body),
            oracle: oracle::Oracle::of_text(&prompt),
        }
    }
}

/// Sends requests.
#[derive(Debug)]
pub(super) struct Caller {
    plan: sync::Arc<plan::Plan>,
    directory: sync::Arc<directory::Directory>,
    http: HttpClient,
    run: u64,
}

impl Caller {
    /// Creates a caller with its own connection pool.
    pub(super) fn open(
        plan: sync::Arc<plan::Plan>,
        directory: sync::Arc<directory::Directory>,
    ) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        Self {
            plan,
            directory,
            http: legacy::Client::builder(rt::TokioExecutor::new()).build(connector),
            run: crate::unix_time::now_ms(),
        }
    }

    /// Sends a request and reads its response; `start` is the intended send time.
    pub(super) async fn call(&self, prepared: Prepared, start: time::Instant) -> sample::Sample {
        let arrival = prepared.arrival;
        let output_tokens = self.plan.output_tokens;
        let mut reading = reader::Reading::new(start, prepared.oracle, output_tokens);
        let mut refused_connections = 0;
        let via = self.via(&arrival);
        let exchange = async {
            match self.send(&prepared, via, &mut refused_connections).await {
                Ok(resp) => reading.read(resp).await,
                Err(outcome) => outcome,
            }
        };
        let limit = self.plan.wall(self.plan.deadline) + GRACE;
        let outcome = tokio::time::timeout(limit, exchange).await;
        let scaled = |wall| self.plan.scaled(wall);
        let seen = |wall| scaled(wall) + self.plan.caller_delay;
        sample::Sample {
            arrival,
            via,
            outcome: outcome.unwrap_or(outcome::Outcome::NeverTold),
            refused_connections,
            first_token: reading.first_token.map(seen),
            between_tokens: reading.between_tokens.into_iter().map(scaled).collect(),
            total: seen(start.elapsed()),
        }
    }

    /// Returns the receiver of a request: every other one goes to the plan's engine, if any.
    fn via(&self, arrival: &arrival::Arrival) -> sample::Via {
        let has_entries = !self.plan.entries.is_empty();
        let is_direct = self.plan.direct.is_some() && (!has_entries || arrival.number % 2 == 1);
        if is_direct {
            sample::Via::Direct
        } else {
            sample::Via::Entry
        }
    }

    /// Sends a request, and tries another entry if the connection to one fails.
    async fn send(
        &self,
        prepared: &Prepared,
        via: sample::Via,
        refused_connections: &mut u32,
    ) -> Result<http::Response<body::Incoming>, outcome::Outcome> {
        let mut tried = Vec::new();
        while *refused_connections < MAX_CONNECTIONS {
            let base = match (via, &self.plan.direct) {
                (sample::Via::Direct, Some(url)) => Some(url.clone()),
                _ => self.directory.pick(&tried),
            };
            let base = base.ok_or(outcome::Outcome::NoConnection)?;
            let req = self.request(prepared, &base);
            let req = req.map_err(|_| outcome::Outcome::NoConnection)?;
            match self.http.request(req).await {
                Ok(resp) => return Ok(resp),
                Err(e) if e.is_connect() => *refused_connections += 1,
                Err(_) => return Err(outcome::Outcome::Cut),
            }
            tried.push(base);
        }
        Err(outcome::Outcome::NoConnection)
    }

    fn request(&self, prepared: &Prepared, base: &str) -> http::Result<http::Request<Body>> {
        let account = self.plan.accounts.get(prepared.arrival.account);
        let key = account.map_or("", |account| account.key.as_str());
        let deadline = self.plan.wall(self.plan.deadline).as_millis();
        let id = format!("load.{}.{}", self.run, prepared.arrival.number);
        http::Request::post(format!("{base}/v1/completions"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(http::header::AUTHORIZATION, format!("Bearer {key}"))
            .header("x-deadline-ms", deadline.to_string())
            .header("x-request-id", id)
            .body(Body::new(prepared.body.clone()))
    }
}

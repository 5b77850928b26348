//! Reads and checks a streamed response.

use std::{borrow, time};

use http_body_util::BodyExt;
use hyper::body;
use mustardshed::wire::data_lines;
use serde::Deserialize;

use crate::{load::outcome, oracle};

/// Data of the last event of a complete response.
const DONE: &[u8] = b"[DONE]";
/// Maximum size of an error body, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Event from an entry or from an engine.
#[derive(Debug, Deserialize)]
struct Event<'a> {
    /// Text of an engine's token.
    #[serde(borrow, default)]
    text: Option<borrow::Cow<'a, str>>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    error: Option<ErrorBody>,
    #[serde(default)]
    outcome: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: borrow::Cow<'a, str>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ErrorBody {
    Entry { code: String },
    Engine(String),
}

/// Reader of one response, with its measured latencies.
#[derive(Debug)]
pub(crate) struct Reading {
    start: time::Instant,
    last: Option<time::Instant>,
    expected: String,
    received: String,
    /// Time to the first token.
    pub(crate) first_token: Option<time::Duration>,
    /// Times between tokens.
    pub(crate) between_tokens: Vec<time::Duration>,
}

impl Reading {
    /// Creates the reader for a request whose intended send time is `start`.
    pub(crate) fn new(start: time::Instant, oracle: oracle::Oracle, output_tokens: u64) -> Self {
        Self {
            start,
            last: None,
            expected: oracle.text(0, output_tokens),
            received: String::new(),
            first_token: None,
            between_tokens: Vec::with_capacity(output_tokens as usize),
        }
    }

    /// Reads a response to its end and returns its outcome.
    pub(crate) async fn read(&mut self, resp: http::Response<body::Incoming>) -> outcome::Outcome {
        if resp.status() != http::StatusCode::OK {
            return read_error(resp.into_body()).await;
        }
        let ended = self.read_events(resp.into_body()).await;
        ended.unwrap_or(outcome::Outcome::Cut)
    }

    /// Reads events until one ends the response; returns `None` if none does.
    async fn read_events(&mut self, mut body: body::Incoming) -> Option<outcome::Outcome> {
        let mut lines = data_lines::DataLines::default();
        loop {
            while let Some(data) = lines.take().ok()? {
                if let Some(ended) = self.take_event(&data) {
                    return Some(ended);
                }
            }
            let frame = body.frame().await?.ok()?;
            lines.push(&frame.into_data().unwrap_or_default());
        }
    }

    fn take_event(&mut self, data: &[u8]) -> Option<outcome::Outcome> {
        if data == DONE {
            return Some(self.judge());
        }
        let Ok(event) = serde_json::from_slice::<Event<'_>>(data) else {
            return Some(outcome::Outcome::Wrong);
        };
        if let Some(error) = event.error {
            return Some(error_outcome(event.outcome, error));
        }
        let text = event
            .text
            .or_else(|| event.choices.into_iter().next().map(|c| c.text));
        self.take_text(&text.unwrap_or_default())
    }

    fn take_text(&mut self, text: &str) -> Option<outcome::Outcome> {
        if text.is_empty() {
            return None;
        }
        let now = time::Instant::now();
        match self.last {
            None => self.first_token = Some(now - self.start),
            Some(last) => self.between_tokens.push(now - last),
        }
        self.last = Some(now);
        self.received.push_str(text);
        let is_own = self.expected.starts_with(&self.received);
        (!is_own).then_some(outcome::Outcome::Wrong)
    }

    fn judge(&self) -> outcome::Outcome {
        if self.received == self.expected {
            outcome::Outcome::Completed
        } else {
            outcome::Outcome::Wrong
        }
    }
}

async fn read_error(body: body::Incoming) -> outcome::Outcome {
    let limited = http_body_util::Limited::new(body, MAX_ERROR_BYTES);
    let Ok(collected) = limited.collect().await else {
        return outcome::Outcome::Cut;
    };
    let bytes = collected.to_bytes();
    match serde_json::from_slice::<Event<'_>>(&bytes) {
        Ok(Event {
            error: Some(error),
            outcome,
            ..
        }) => error_outcome(outcome, error),
        _ => outcome::Outcome::Cut,
    }
}

/// Returns the outcome of an error; an engine's refusal always means that nothing ran.
fn error_outcome(outcome: Option<String>, error: ErrorBody) -> outcome::Outcome {
    match error {
        ErrorBody::Entry { code } => outcome::Outcome::Told {
            outcome: outcome.unwrap_or_else(|| String::from("untold")),
            code,
        },
        ErrorBody::Engine(code) => outcome::Outcome::Told {
            outcome: String::from("not_run"),
            code,
        },
    }
}

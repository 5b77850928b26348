//! Prompt and the driver that runs it.

pub mod attempt;
pub mod driver;
pub mod plan;
pub mod progress;
pub mod reading;

use std::sync;

use bytes::Bytes;
use mustardshed::core::{boundary::backend_server, ids};
use tokio::sync::mpsc;

use crate::request::{accounts, cx, full_output, job, output};

/// Greatest number of output chunks that are queued for the connection.
const OUTPUT_QUEUE: usize = 64;

/// Admitted prompt.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Properties that are the same for all attempts.
    pub job: job::Job,
    /// Model that runs the prompt.
    pub model: ids::ModelId,
    /// Bytes of the prompt.
    pub prompt: Bytes,
    /// Encoding of the prompt's bytes.
    pub prompt_format: backend_server::PromptFormat,
    /// Prompt length in tokens.
    pub prompt_tokens: ids::Tokens,
    /// Greatest output length, in tokens.
    pub max_tokens: ids::Tokens,
}

/// Guards of the counts that include an admitted request until it ends.
#[derive(Debug)]
pub struct Guards {
    /// Guard of the entry's count of requests.
    pub in_flight: cx::InFlight,
    /// Guard of the client account's count of requests.
    pub running: accounts::Running,
}

/// Spawns the driver of a prompt and returns the receiver of its output.
///
/// `format` turns the full output into the response that is stored for duplicates. Dropping the
/// receiver cancels the request, unless it is claimed.
pub fn spawn(
    cx: &sync::Arc<cx::Cx>,
    completion: Completion,
    format: sync::Arc<dyn full_output::ResponseFormat>,
    guards: Guards,
) -> mpsc::Receiver<output::Output> {
    let (tx, rx) = mpsc::channel(OUTPUT_QUEUE);
    let driver = driver::Driver::new(sync::Arc::clone(cx), completion, format, tx);
    tokio::spawn(async move {
        driver.run().await;
        drop(guards);
    });
    rx
}

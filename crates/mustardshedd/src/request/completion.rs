//! A prompt and the driver that carries it.

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

/// Parts of an output that wait for the connection at most.
const OUTPUT_QUEUE: usize = 64;

/// An admitted prompt.
#[derive(Clone, Debug)]
pub struct Completion {
    /// What stays the same over all attempts.
    pub job: job::Job,
    /// Model.
    pub model: ids::ModelId,
    /// Prompt.
    pub prompt: Bytes,
    /// How the prompt's bytes are to be read.
    pub prompt_format: backend_server::PromptFormat,
    /// Prompt length in tokens.
    pub prompt_tokens: ids::Tokens,
    /// Output length at most, in tokens.
    pub max_tokens: ids::Tokens,
}

/// Counts that an admitted request holds until it ends.
#[derive(Debug)]
pub struct Guards {
    /// Count of the entry.
    pub in_flight: cx::InFlight,
    /// Count of the client account.
    pub running: accounts::Running,
}

/// Starts the driver of a prompt and returns its output.
///
/// `form` makes of the whole output the answer that is kept for repeats. Dropping the receiver cancels the request, unless it is claimed.
pub fn spawn(
    cx: &sync::Arc<cx::Cx>,
    completion: Completion,
    form: sync::Arc<dyn full_output::ResponseFormat>,
    guards: Guards,
) -> mpsc::Receiver<output::Output> {
    let (tx, rx) = mpsc::channel(OUTPUT_QUEUE);
    let driver = driver::Driver::new(sync::Arc::clone(cx), completion, form, tx);
    tokio::spawn(async move {
        driver.run().await;
        drop(guards);
    });
    rx
}

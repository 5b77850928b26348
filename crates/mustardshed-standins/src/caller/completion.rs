//! A streamed completion as its caller receives it.

use std::time;

/// A whole streamed completion.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Completion {
    /// Identifier of the request.
    pub request_id: String,
    /// Whole text.
    pub text: String,
    /// Time from the send to the first token.
    pub first_token_after: time::Duration,
    /// Time from the send to the end.
    pub whole_after: time::Duration,
    /// Why the output ended.
    pub finish_reason: Option<String>,
    /// Whether the stream said that it was over.
    pub is_done: bool,
}

/// One event of a streamed completion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
    /// Text, and why the output ended if it did.
    Text(String, Option<String>),
    /// The stream is over.
    Done,
}

impl Piece {
    /// Reads the data of an event.
    ///
    /// # Errors
    ///
    /// Returns what was received if it is an error or no piece of a completion.
    pub fn parse(data: &str) -> Result<Self, String> {
        if data == "[DONE]" {
            return Ok(Self::Done);
        }
        let value: serde_json::Value = serde_json::from_str(data).map_err(|e| e.to_string())?;
        let choice = &value["choices"][0];
        let Some(text) = choice["text"].as_str() else {
            return Err(format!("unexpected event: {value}"));
        };
        let finish_reason = choice["finish_reason"].as_str().map(str::to_owned);
        Ok(Self::Text(text.to_owned(), finish_reason))
    }
}

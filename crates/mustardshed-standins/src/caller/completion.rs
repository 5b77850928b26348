//! A streamed completion as its caller receives it.

use std::time;

/// A streamed completion, read to its end.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Completion {
    /// Identifier of the request.
    pub request_id: String,
    /// Full text.
    pub text: String,
    /// Time from sending to the first token.
    pub first_token_after: time::Duration,
    /// Time from sending to the end.
    pub whole_after: time::Duration,
    /// Finish reason of the output.
    pub finish_reason: Option<String>,
    /// Whether the stream ended with its end marker.
    pub is_done: bool,
}

/// One event of a streamed completion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
    /// Text, and the finish reason if the output ended.
    Text(String, Option<String>),
    /// End marker of the stream.
    Done,
}

impl Piece {
    /// Parses the data of an event.
    ///
    /// # Errors
    ///
    /// Returns the received data if it is an error or not a completion chunk.
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

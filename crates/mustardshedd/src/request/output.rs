//! Messages from the driver of a prompt to the connection that waits for its output.

use mustardshed::core::{error, request::fate};

/// One part of a streamed output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Text of this part.
    pub text: String,
    /// Reason for which the output ended; only in the last chunk.
    pub finish: Option<String>,
}

/// Message from the driver of a prompt to the connection that waits for its output.
#[derive(Clone, Debug)]
pub enum Output {
    /// The next part of the output.
    Chunk(Chunk),
    /// An earlier request with the same key holds or held the claim.
    Duplicate(Box<fate::Fate>),
    /// The request ended with an error.
    Failed(error::Error),
}

//! What a request's driver tells the connection that waits for it.

use mustardshed::core::{error, request::fate};

/// One part of an output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Text.
    pub text: String,
    /// Why the output ended, on its last piece.
    pub finish: Option<String>,
}

/// What a request's driver tells the connection that waits for it.
#[derive(Clone, Debug)]
pub enum Output {
    /// The next part of the output.
    Chunk(Chunk),
    /// An earlier request with the same key holds or held the claim.
    Duplicate(Box<fate::Fate>),
    /// The request ended with an error.
    Failed(error::Error),
}

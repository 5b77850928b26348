//! Malformed and hostile inputs for a listening port, from a seed.

pub mod http;
pub mod peer;
pub mod sender;

/// One input: bytes to send, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Input {
    /// What is wrong with it.
    pub name: &'static str,
    /// Bytes to send.
    pub bytes: Vec<u8>,
    /// Whether the receiver can tell that it is HTTP, so that it owes an answer.
    pub http: bool,
    /// Whether the bytes trickle and the rest never comes.
    pub slow: bool,
}

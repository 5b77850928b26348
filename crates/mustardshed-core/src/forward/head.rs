//! Contents of the heads of forwarded requests and their responses.

use std::time;

use crate::ids;

/// Head of a client's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Identifier that the client gave to this attempt.
    pub request_id: Option<String>,
    /// How long the client waits for the response.
    pub timeout: Option<time::Duration>,
    /// API key of the client's account.
    pub key: Option<String>,
    /// Last event that the client received of the stream that it resumes.
    pub last_event_id: Option<u64>,
    /// Model that the client asks for.
    pub model: Option<ids::ModelId>,
    /// Length of the prompt.
    pub prompt_tokens: Option<ids::Tokens>,
    /// Limit on the length of the response.
    pub max_output_tokens: Option<ids::Tokens>,
    /// Response length that the client expects; often wrong.
    pub output_tokens_hint: Option<ids::Tokens>,
    /// Parts of the prompt in order; the last one is the request's own.
    pub prompt_parts: Vec<ids::PromptPartId>,
}

impl RequestHead {
    /// Returns the parts of the prompt that other requests may have as well.
    #[must_use]
    pub fn shared_parts(&self) -> &[ids::PromptPartId] {
        self.prompt_parts
            .split_last()
            .map_or(&[], |(_, shared)| shared)
    }
}

/// A server that prefills a shard of the prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Helper {
    /// `IP:PORT`.
    pub address: String,
    /// Reservation that holds the KV memory of its shard, if it keeps it.
    pub reservation: Option<String>,
}

/// What an entry adds to the head of a request that it sends to a server.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamHead<'a> {
    /// Server that must respond; any other rejects the request.
    pub server: &'a str,
    /// Account that the request belongs to.
    pub account: Option<&'a str>,
    /// Remaining time of the client's timeout.
    pub time_left: time::Duration,
    /// Last event that the client received.
    pub last_event_id: Option<u64>,
    /// Servers that help to prefill the prompt.
    pub helpers: &'a [Helper],
    /// Priority; zero is the most urgent.
    pub priority: u8,
}

/// Head of a server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Identifier of the request that it responds to.
    pub request_id: Option<String>,
    /// Whether it carries the header that only backend servers set.
    pub is_signed: bool,
    /// Whether its body has a content encoding, which no server uses.
    pub is_encoded: bool,
    /// Whether it came from another server than the one that was addressed.
    pub is_misdirected: bool,
    /// Whether the request has not run.
    pub has_not_run: bool,
    /// Server whose failure made this one reject the request.
    pub failed_server: Option<String>,
    /// How much longer the server is cold.
    pub cold_for: Option<time::Duration>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Requests per second that the server accepts from all entries together.
    pub rate_limit: Option<RateLimit>,
    /// When a server that rejected the request wants the next one.
    pub back_off: Option<BackOff>,
}

/// A server's request to be sent nothing for a while.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackOff {
    /// Send nothing for this long.
    For(time::Duration),
    /// The value of the header, which is not a duration.
    Invalid(String),
}

/// A server's limit on the requests that it gets from all entries together.
#[derive(Clone, Debug, PartialEq)]
pub enum RateLimit {
    /// Requests per second.
    PerSecond(f64),
    /// The value of the header, which is not a rate.
    Invalid(String),
}

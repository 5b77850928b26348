//! What the heads of forwarded requests and answers say.

use std::time;

use crate::ids;

/// Head of a client's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Identifier that the client gave to this attempt.
    pub request_id: Option<String>,
    /// Time for which the client waits.
    pub timeout: Option<time::Duration>,
    /// Key of its account.
    pub api_key: Option<String>,
    /// Last event that the client has of a stream that it resumes.
    pub last_event_id: Option<u64>,
    /// Length of the prompt.
    pub prompt_tokens: Option<ids::Tokens>,
    /// Longest answer.
    pub max_output_tokens: Option<ids::Tokens>,
    /// Length of the answer that the client expects; often wrong.
    pub output_tokens_hint: Option<ids::Tokens>,
}

/// A server that reads a part of the prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Helper {
    /// `IP:PORT`.
    pub address: String,
    /// Reservation in which it keeps what it read, if it does.
    pub reservation: Option<String>,
}

/// What a request is sent with.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamHead<'a> {
    /// Server that must answer; any other one turns the request away.
    pub server: &'a str,
    /// Account whose request it is.
    pub account: Option<&'a str>,
    /// Time that is left of the client's.
    pub time_left: time::Duration,
    /// Last event that the client has.
    pub last_event_id: Option<u64>,
    /// Servers that help.
    pub helpers: &'a [Helper],
    /// Rank; zero is the most urgent.
    pub priority: u8,
}

/// Head of a server's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Request that it answers.
    pub request_id: Option<String>,
    /// Whether a server signed it.
    pub has_server_stamp: bool,
    /// Whether its body is encoded, as no server's is.
    pub is_encoded: bool,
    /// Whether the server is not the one that was meant.
    pub is_misdirected: bool,
    /// Whether the request has not run.
    pub has_not_run: bool,
    /// Server for whose failure the request was turned away.
    pub failed_server: Option<String>,
    /// Time for which the server is still cold.
    pub cold_for: Option<time::Duration>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// What a server that turned the request away says of when it wants another one.
    pub back_off: Option<BackOff>,
}

/// Wish of a server for a time without requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BackOff {
    /// For this long.
    For(time::Duration),
    /// Something that is no time.
    Invalid(String),
}

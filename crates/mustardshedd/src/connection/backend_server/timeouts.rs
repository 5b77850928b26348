//! Timeouts of the client of backend servers.

use std::time;

/// Longest time to establish a connection.
const CONNECT: time::Duration = time::Duration::from_secs(1);
/// Longest time until an engine accepts or refuses a request.
const HEAD: time::Duration = time::Duration::from_secs(5);
/// Longest time until a control call gets its response.
const CONTROL: time::Duration = time::Duration::from_secs(2);
/// Longest time until the full response of a plain service is received.
const RESPONSE: time::Duration = time::Duration::from_secs(60);
/// Longest time between two tokens.
const TOKEN: time::Duration = time::Duration::from_secs(600);

/// How long the client waits; the deadline of a request may be shorter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Until a connection is established.
    pub connect: time::Duration,
    /// Until an engine accepts or refuses a prompt or a resumption.
    pub head: time::Duration,
    /// Until the response to a cancel, reservation, order or load report is received.
    pub control: time::Duration,
    /// Until the full response of a plain service is received.
    pub response: time::Duration,
    /// Until the next token is received; the first one waits for the prefill.
    pub token: time::Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: CONNECT,
            head: HEAD,
            control: CONTROL,
            response: RESPONSE,
            token: TOKEN,
        }
    }
}

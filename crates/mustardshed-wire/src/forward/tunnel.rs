//! Tunnels: connections to servers that an entry makes for a peer that does not reach them.
//!
//! The peer opens a WebSocket connection at [`PATH`] with the server's name in [`SERVER_HEADER`]. The
//! first message is the entry's [`Reply`]. After [`Reply::Connected`], each binary message holds bytes
//! of the connection to the server, in both directions. The close code tells whether the server closed
//! the connection or it broke; without a close message it broke.

use crate::peer;

/// Path at which tunnels are opened.
pub const PATH: &str = "/tunnel";
/// Header with the name of the server, in the request that opens a tunnel.
pub const SERVER_HEADER: &str = "mustardshed-server";

/// What an entry replies to a peer that wants a connection to a server.
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub enum Reply {
    /// The connection stands.
    #[serde(rename = "c")]
    Connected,
    /// The server's port is closed.
    #[serde(rename = "r")]
    Refused,
    /// The server does not answer.
    #[serde(rename = "u")]
    Unreachable,
    /// This entry makes no connections to this server, or none for others.
    #[serde(rename = "n")]
    Unavailable,
}

impl Reply {
    /// Encodes the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, peer::Error> {
        peer::to_frame(self)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Returns an error if `buf` does not hold a reply.
    pub fn decode(buf: &[u8]) -> Result<Self, peer::Error> {
        peer::from_frame(buf)
    }
}

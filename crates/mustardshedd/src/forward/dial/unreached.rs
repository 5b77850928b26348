//! A server to which no way led.

use displaydoc::Display;

/// A server that was reached in no way.
#[derive(Clone, Debug, Display)]
#[displaydoc("cannot connect: {reason}")]
pub struct Unreached {
    /// Failure of this entry's own connection, or of the last peer.
    pub reason: String,
    /// Whether its port is closed for all that tried.
    pub is_refused: bool,
    /// Whether a peer could not reach it either, or there is none to ask.
    pub is_confirmed: bool,
    /// Whether a peer could not reach it either.
    pub(super) has_witness: bool,
}

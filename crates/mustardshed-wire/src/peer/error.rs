//! Errors of encoding, decoding and authenticating frames between entry processes.

use displaydoc::Display;

/// Why a frame cannot be encoded, decoded or authenticated.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Error {
    /// a frame of {0} bytes is too large
    TooLarge(usize),
    /// the frame could not be encoded: {0}
    Encoding(String),
    /// the frame could not be decoded: {0}
    Decoding(String),
    /// the field {0} is out of bounds
    OutOfBounds(&'static str),
    /// the field {0} has an unknown value
    UnknownValue(&'static str),
    /// the peer uses unsupported version {0} of the protocol
    Version(u32),
    /// the peer did not prove that it has the key
    Unproven,
}

impl std::error::Error for Error {}

//! Why a frame between entry processes was not encoded, decoded or trusted.

use displaydoc::Display;

/// Failure of encoding, decoding or checking a frame.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Error {
    /// a frame of {0} bytes is too large
    TooLarge(usize),
    /// the frame could not be encoded: {0}
    Encoding(String),
    /// the frame could not be decoded: {0}
    Decoding(String),
    /// the field {0} breaks its bound
    OutOfBounds(&'static str),
    /// the field {0} has an unknown value
    UnknownValue(&'static str),
    /// the peer speaks version {0} of the protocol
    Version(u32),
    /// the peer did not prove that it has the key
    Unproven,
}

impl std::error::Error for Error {}

//! Frames between entry processes: CBOR, bounded in size and in the length of every list.
//!
//! A link starts with a [`Hello`] each way, then a [`Proof`] each way; every later frame is a
//! message. Durations are sent as nanoseconds, errors by their stable codes. Fields of frequent
//! messages have names of one letter, and fields with the default value are left out.
//!
//! ```
//! use mustardshed_core::process::message;
//! use mustardshed_wire::peer;
//!
//! let message = message::Message::WantConfiguration { newer_than: 7 };
//! let buf = peer::encode(&message)?;
//! assert_eq!(peer::decode(&buf)?, message);
//! # Ok::<(), peer::Error>(())
//! ```

use mustardshed_core::process::message;

pub mod credit;
pub mod error;
pub mod fact;
pub mod fate;
mod field;
pub mod handshake;
pub mod heartbeat;
pub mod hmac;
pub mod load;
mod wire_message;

pub use error::Error;
pub use handshake::{Hello, Proof};
pub use wire_message::Message;

/// Version of the protocol between entry processes.
pub const PROTOCOL_VERSION: u32 = 3;
/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

const MAX_DEPTH: usize = 32;

/// Encodes a message as one frame.
///
/// # Errors
///
/// Returns an error if the frame would exceed [`MAX_FRAME_BYTES`].
pub fn encode(message: &message::Message) -> Result<Vec<u8>, Error> {
    to_frame(&Message::from(message.clone()))
}

/// Decodes a frame that holds a message.
///
/// # Errors
///
/// Returns an error if `buf` is too large, is not CBOR of a [`Message`], or exceeds a bound.
pub fn decode(buf: &[u8]) -> Result<message::Message, Error> {
    from_frame::<Message>(buf)?.try_into()
}

pub(crate) fn to_frame<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).map_err(|e| Error::Encoding(e.to_string()))?;
    if buf.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(buf.len()));
    }
    Ok(buf)
}

pub(crate) fn from_frame<T: serde::de::DeserializeOwned>(buf: &[u8]) -> Result<T, Error> {
    if buf.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(buf.len()));
    }
    ciborium::de::from_reader_with_recursion_limit(buf, MAX_DEPTH)
        .map_err(|e| Error::Decoding(e.to_string()))
}

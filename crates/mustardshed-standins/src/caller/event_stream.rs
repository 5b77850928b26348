//! Decoder of server-sent events from the chunks of a body.

use bytes::{Buf, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1_024;
const DATA: &[u8] = b"data:";

/// Decoder of a stream whose events have one `data` line each.
#[derive(Debug, Default)]
pub struct EventStream {
    buf: BytesMut,
}

impl EventStream {
    /// Appends a chunk of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if an event exceeds the maximum size.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), String> {
        self.buf.extend_from_slice(piece);
        let pending = self.buf.iter().rev().take_while(|byte| **byte != b'\n');
        if pending.count() > MAX_EVENT_BYTES {
            return Err("an event is too long".to_owned());
        }
        Ok(())
    }

    /// Returns the data of the next complete event.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.buf.iter().position(|byte| *byte == b'\n')?;
            let line = self.buf.split_to(end);
            self.buf.advance(1);
            if let Some(data) = line.strip_prefix(DATA) {
                return Some(String::from_utf8_lossy(data).trim().to_owned());
            }
        }
    }
}

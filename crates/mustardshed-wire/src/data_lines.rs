//! Extracts the data lines of a stream of server-sent events.
//!
//! ```
//! use mustardshed_wire::data_lines;
//!
//! let mut lines = data_lines::DataLines::default();
//! lines.push(b"data: one\n\nda");
//! assert_eq!(lines.take().unwrap().as_deref(), Some(&b"one"[..]));
//! assert_eq!(lines.take(), Ok(None));
//! ```

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

/// Longest line, in bytes without its line end.
const MAX_LINE_BYTES: usize = 64 << 10;

const DATA: &[u8] = b"data:";

/// a line is longer than 64 KiB
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct LineTooLong;

impl std::error::Error for LineTooLong {}

/// Buffer of an event stream's bytes that were received and not yet taken.
#[derive(Debug, Default)]
pub struct DataLines {
    buf: BytesMut,
    scanned: usize,
}

impl DataLines {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Takes the value of the next complete data line; skips other lines.
    ///
    /// # Errors
    ///
    /// Returns [`LineTooLong`] if a line is too long, even if its end has not arrived.
    pub fn take(&mut self) -> Result<Option<Bytes>, LineTooLong> {
        while let Some(line) = self.take_line()? {
            if let Some(value) = data_value(line) {
                return Ok(Some(value));
            }
        }
        Ok(None)
    }

    fn take_line(&mut self) -> Result<Option<Bytes>, LineTooLong> {
        let newline = self.buf[self.scanned..].iter().position(|b| *b == b'\n');
        let Some(i) = newline else {
            self.scanned = self.buf.len();
            return if self.scanned > MAX_LINE_BYTES {
                Err(LineTooLong)
            } else {
                Ok(None)
            };
        };
        let length = self.scanned + i;
        if length > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        self.scanned = 0;
        let mut line = self.buf.split_to(length + 1).freeze();
        line.truncate(length);
        if line.ends_with(b"\r") {
            line.truncate(length - 1);
        }
        Ok(Some(line))
    }
}

fn data_value(mut line: Bytes) -> Option<Bytes> {
    if !line.starts_with(DATA) {
        return None;
    }
    line.advance(DATA.len());
    if line.starts_with(b" ") {
        line.advance(1);
    }
    Some(line)
}

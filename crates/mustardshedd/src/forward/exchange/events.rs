//! Splits the bytes of a stream into events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a server that sends a larger one is faulty.
pub(super) const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// An empty line ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Event {
    /// Bytes of the event, with the empty line that ends it.
    pub(super) bytes: Bytes,
    /// Identifier of the event, if it has a numeric one.
    pub(super) id: Option<u64>,
}

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Returns the number of buffered bytes.
    pub(super) fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Removes and returns the next complete event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let rest = self.buf.get(self.searched..).unwrap_or_default();
        let end = rest
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        let Some(end) = end else {
            self.searched = (self.buf.len() + 1).saturating_sub(EVENT_END.len());
            return None;
        };
        let len = std::mem::take(&mut self.searched) + end + EVENT_END.len();
        let bytes = self.buf.split_to(len).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether the buffer holds the beginning of an incomplete event.
    pub(super) fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns whether the buffered event exceeds [`MAX_EVENT_BYTES`].
    pub(super) fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}

//! Splits the bytes of a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; a server that sends a longer one has gone wrong.
pub(super) const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// End of an event: an empty line.
const END: &[u8] = b"\n\n";

/// A whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Event {
    /// Its bytes with the empty line after it.
    pub(super) bytes: Bytes,
    /// Its identifier, if it has one.
    pub(super) id: Option<u64>,
}

/// Bytes that came and are not yet a whole event.
#[derive(Debug, Default)]
pub(super) struct Events {
    buf: BytesMut,
    /// Bytes at the beginning that are known to hold no end.
    searched: usize,
}

impl Events {
    /// Takes bytes of the stream.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Returns the next whole event.
    pub(super) fn next(&mut self) -> Option<Event> {
        let rest = self.buf.get(self.searched..).unwrap_or_default();
        let end = rest.windows(END.len()).position(|window| window == END);
        let Some(end) = end else {
            self.searched = (self.buf.len() + 1).saturating_sub(END.len());
            return None;
        };
        let len = std::mem::take(&mut self.searched) + end + END.len();
        let bytes = self.buf.split_to(len).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether an event has begun that is not whole.
    pub(super) fn is_torn(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns whether an event is longer than any may be.
    pub(super) fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}

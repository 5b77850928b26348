//! A buffer whose memory is counted.

use bytes::Bytes;

use crate::forward::memory::{Budget, Exhausted, Held};

/// A growing buffer. Data is copied into it, since a piece of a received body keeps the whole read
/// buffer that it is a part of.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    held: Held,
}

impl Buffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(budget: &Budget) -> Self {
        Self {
            bytes: Vec::new(),
            held: Held::none(budget),
        }
    }

    /// Returns the number of bytes in the buffer.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends data.
    ///
    /// # Errors
    ///
    /// Returns an error if no memory is left for it; the buffer then stays as it is.
    pub fn extend(&mut self, data: &[u8]) -> Result<(), Exhausted> {
        let needed = self.bytes.len() + data.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let capacity = needed.max(capacity * 2);
            self.held.cover(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes, whose memory stays counted until the last of their copies is dropped.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.held.bytes == 0 {
            return Bytes::from(self.bytes);
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

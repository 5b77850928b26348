//! Memory held for what clients, servers and peers send, bounded by that of the VM.

use std::{io, sync};

use displaydoc::Display;
use mustardshed::core::forward::memory_budget;

use crate::log::{self, event};

pub mod allocator;
pub mod allowed;
mod buffer;

pub use buffer::Buffer;

/// Memory of a request or a tunnel, in bytes: the connection to the server, and short bodies.
pub const REQUEST_BYTES: usize = 64 * 1024;
/// Part of [`REQUEST_BYTES`] for each buffer, in bytes; what a buffer has beyond it is counted.
const INCLUDED_BYTES: usize = 16 * 1024;

/// The budget that all holders share.
pub type Budget = sync::Arc<memory_budget::MemoryBudget>;

/// no memory is left for it
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct Exhausted;

impl std::error::Error for Exhausted {}

/// Opens the budget of a process on a VM with so much memory, in bytes, if it is known; less if the
/// machine, a control group or a resource limit of the process allows less.
///
/// # Errors
///
/// Returns an error if none of them sets a limit.
pub fn open(vm_bytes: Option<u64>) -> io::Result<Budget> {
    let allowed = allowed::allowed(vm_bytes)?;
    log::emit(&event::Event::MemoryLimit {
        source: allowed.source.as_str(),
        memory_bytes: allowed.bytes,
    });
    let budget = memory_budget::MemoryBudget::new(allowed.bytes);
    Ok(sync::Arc::new(budget))
}

/// Memory of one holder, which is given back when dropped.
#[derive(Debug)]
pub struct Held {
    budget: Budget,
    bytes: usize,
}

impl Held {
    /// Takes `bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget has none left.
    pub fn take(budget: &Budget, bytes: usize) -> Result<Self, Exhausted> {
        let mut held = Self::none(budget);
        held.add(bytes)?;
        Ok(held)
    }

    /// Returns a holder that has nothing yet.
    #[must_use]
    pub fn none(budget: &Budget) -> Self {
        Self {
            budget: sync::Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Takes what a buffer of `capacity` bytes needs beyond what is held and included in its request.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget has not so much left.
    pub fn cover(&mut self, capacity: usize) -> Result<(), Exhausted> {
        let counted = capacity.saturating_sub(INCLUDED_BYTES);
        self.add(counted.saturating_sub(self.bytes))
    }

    /// Takes or gives back what makes it `bytes` bytes, which the holder can do without.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget has not so much to spare; the holder then keeps what it has.
    pub fn resize_spare(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) {
            if !self.budget.try_add_spare(self.bytes, more) {
                return Err(Exhausted);
            }
            self.bytes = bytes;
        }
        self.shrink_to(bytes);
        Ok(())
    }

    /// Gives back what is held beyond `bytes` bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.bytes -= freed;
        self.budget.remove(freed);
    }

    fn add(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes > 0 && !self.budget.try_add(self.bytes, bytes) {
            return Err(Exhausted);
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.remove(self.bytes);
    }
}

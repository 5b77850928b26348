//! How much memory may be held for what others send.
//!
//! Each holder is limited by itself elsewhere; this bounds their sum. Large buffers may take a share
//! of the budget only, and each of them no more than is left of that share, so that many of them
//! divide it and small requests always find memory.

use std::sync::atomic;

/// Divisor of a VM's memory that gives the budget; the rest is for the process itself, the buffers of
/// its sockets and what the allocator cannot reuse.
const VM_DIVISOR: u64 = 2;
/// Size up to which a buffer counts as small, in bytes.
const SMALL_BYTES: usize = 64 * 1024;
/// Share of the budget that large buffers may take, as parts and their number.
const LARGE_SHARE: (usize, usize) = (3, 4);
/// Share of the budget up to which memory is granted that its holder can do without. It is less than
/// that of large buffers, which are refused or break off without memory.
const SPARE_SHARE: (usize, usize) = (1, 2);

/// Counts the memory held for what others send.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    held: atomic::AtomicUsize,
}

impl MemoryBudget {
    /// Creates the budget of a process on a VM with `vm_bytes` bytes of memory.
    #[must_use]
    pub fn new(vm_bytes: u64) -> Self {
        Self {
            limit: usize::try_from(vm_bytes / VM_DIVISOR).unwrap_or(usize::MAX),
            held: atomic::AtomicUsize::new(0),
        }
    }

    /// Returns the most bytes that may be held.
    #[must_use]
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(atomic::Ordering::Relaxed)
    }

    /// Adds `more` bytes to a holder that has `own`; returns whether they are granted.
    #[must_use]
    pub fn try_add(&self, own: usize, more: usize) -> bool {
        self.try_add_if(own, more, |held, own, sum| self.allows(held, own, sum))
    }

    /// Adds `more` bytes, which their holder can do without, to the `own` that it has; returns
    /// whether they are granted. Holders divide their share like large buffers do theirs.
    #[must_use]
    pub fn try_add_spare(&self, own: usize, more: usize) -> bool {
        self.try_add_if(own, more, |held, own, sum| {
            self.allows_share(SPARE_SHARE, held, own, sum)
        })
    }

    /// Adds bytes if `allows` holds for the bytes held before, the holder's and all bytes after.
    fn try_add_if(
        &self,
        own: usize,
        more: usize,
        allows: impl Fn(usize, usize, usize) -> bool,
    ) -> bool {
        let (set, read) = (atomic::Ordering::Relaxed, atomic::Ordering::Relaxed);
        let added = |held: usize| {
            let sum = held.checked_add(more)?;
            allows(held, own.checked_add(more)?, sum).then_some(sum)
        };
        self.held.try_update(set, read, added).is_ok()
    }

    /// Returns whether a holder may have `own` bytes, if `held` bytes were held and `sum` are then.
    const fn allows(&self, held: usize, own: usize, sum: usize) -> bool {
        if own <= SMALL_BYTES {
            return sum <= self.limit;
        }
        self.allows_share(LARGE_SHARE, held, own, sum)
    }

    /// Returns the same for holders that have a share of the budget, and each of them no more than is
    /// left of it.
    const fn allows_share(
        &self,
        (part, whole): (usize, usize),
        held: usize,
        own: usize,
        sum: usize,
    ) -> bool {
        let share = self.limit / whole * part;
        sum <= share && own <= share.saturating_sub(held)
    }

    /// Gives bytes back.
    pub fn remove(&self, bytes: usize) {
        self.held.fetch_sub(bytes, atomic::Ordering::Relaxed);
    }
}

//! The clock border.

use std::fmt;

use crate::ids;

/// Source of the present time on a clock that also counts suspension.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the present time.
    fn now(&self) -> ids::Timestamp;
}

//! Interface to the clock.

use std::fmt;

use crate::ids;

/// A clock that keeps running while the system is suspended.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> ids::Timestamp;
}

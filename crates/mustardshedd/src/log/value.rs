//! Values of an event's fields, as text and as JSON.

use std::fmt;

/// Value of a field of an event.
pub trait Value: fmt::Display {
    /// Returns the value as JSON.
    fn json(&self) -> serde_json::Value;
}

impl Value for &str {
    fn json(&self) -> serde_json::Value {
        (*self).into()
    }
}

impl Value for u128 {
    fn json(&self) -> serde_json::Value {
        u64::try_from(*self).unwrap_or(u64::MAX).into()
    }
}

macro_rules! plain {
    ($($kind:ty),*) => {
        $(impl Value for $kind {
            fn json(&self) -> serde_json::Value {
                (*self).into()
            }
        })*
    };
}

plain!(bool, f64, u16, u32, u64, usize);

//! Values of an event's fields, as text and as JSON.

use std::{borrow, fmt};

/// Longest text of a field, in characters; longer ones are cut.
const MAX_TEXT_CHARS: usize = 8_000;

/// Value of a field of an event.
pub trait Value: fmt::Display {
    /// Returns the value as JSON.
    fn json(&self) -> serde_json::Value;
}

impl Value for &str {
    fn json(&self) -> serde_json::Value {
        cut(self).into()
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

fn cut(text: &str) -> borrow::Cow<'_, str> {
    match text.char_indices().nth(MAX_TEXT_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]).into(),
        None => text.into(),
    }
}

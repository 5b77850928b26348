//! Conversions and bounds shared by the wire types.

use std::time;

use super::error;

/// Longest name or identifier, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 256;
/// Longest free text, in bytes.
pub(super) const MAX_TEXT_BYTES: usize = 4096;

/// Returns a duration in nanoseconds, `u64::MAX` if it is too long.
pub(super) fn to_nanos(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// Returns whether a value is the default, which is not sent.
pub(super) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Returns a name; fails if it is too long.
pub(super) fn name(field: &'static str, value: String) -> Result<String, error::Error> {
    bounded_text(field, value, MAX_NAME_BYTES)
}

/// Returns a free text; fails if it is too long.
pub(super) fn text(field: &'static str, value: String) -> Result<String, error::Error> {
    bounded_text(field, value, MAX_TEXT_BYTES)
}

fn bounded_text(
    field: &'static str,
    value: String,
    max_bytes: usize,
) -> Result<String, error::Error> {
    if value.len() > max_bytes {
        return Err(error::Error::OutOfBounds(field));
    }
    Ok(value)
}

/// Converts a list; fails if it has more than `max_len` elements.
pub(super) fn list<T, U>(
    field: &'static str,
    values: Vec<T>,
    max_len: usize,
) -> Result<Vec<U>, error::Error>
where
    U: TryFrom<T, Error = error::Error>,
{
    if values.len() > max_len {
        return Err(error::Error::OutOfBounds(field));
    }
    values.into_iter().map(U::try_from).collect()
}

/// Shortens a text to the length that the receiver accepts.
pub(super) fn shorten(mut value: String) -> String {
    if value.len() > MAX_TEXT_BYTES {
        let end = value.floor_char_boundary(MAX_TEXT_BYTES);
        value.truncate(end);
    }
    value
}

//! Readers of single values that report invalid ones.

use std::{net, path, time};

use crate::{problem, reader::field};

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Longest file path, in bytes.
const MAX_PATH_BYTES: usize = 4096;

/// Reads a name that is valid in request ids, object names and URL paths.
pub(crate) fn name(field: &field::Field<'_, '_>) -> Option<String> {
    restricted_name(field, "A-Z a-z 0-9 _ -", |c| {
        c.is_ascii_alphanumeric() || matches!(c, '_' | '-')
    })
}

/// Reads the name or version of a model or an adapter.
pub(crate) fn model_name(field: &field::Field<'_, '_>) -> Option<String> {
    restricted_name(field, "A-Z a-z 0-9 _ - . / : @", |c| {
        c.is_ascii_alphanumeric() || matches!(c, '_' | '-' | '.' | '/' | ':' | '@')
    })
}

/// Returns a reader of integers from `least` to `greatest`.
pub(crate) fn u64_within(
    least: u64,
    greatest: u64,
) -> impl Fn(&field::Field<'_, '_>) -> Option<u64> {
    move |field| field.integer(least, greatest)
}

/// Returns a reader of integers from `least` to `greatest`.
pub(crate) fn u32_within(
    least: u32,
    greatest: u32,
) -> impl Fn(&field::Field<'_, '_>) -> Option<u32> {
    move |field| {
        let value = field.integer(u64::from(least), u64::from(greatest))?;
        u32::try_from(value).ok()
    }
}

/// Returns a reader of counts and sizes from `least` to `greatest`.
pub(crate) fn usize_within(
    least: u32,
    greatest: u32,
) -> impl Fn(&field::Field<'_, '_>) -> Option<usize> {
    move |field| {
        let value = field.integer(u64::from(least), u64::from(greatest))?;
        usize::try_from(value).ok()
    }
}

/// Returns a reader of durations from `least` to `greatest`, in milliseconds.
pub(crate) fn millis_within(
    least: u64,
    greatest: u64,
) -> impl Fn(&field::Field<'_, '_>) -> Option<time::Duration> {
    move |field| {
        field
            .integer(least, greatest)
            .map(time::Duration::from_millis)
    }
}

/// Returns a reader of integers and floats from zero to `greatest`.
pub(crate) fn number_within(greatest: f64) -> impl Fn(&field::Field<'_, '_>) -> Option<f64> {
    move |field| field.number(greatest)
}

/// Returns a reader of integers and floats above zero, up to `greatest`.
pub(crate) fn number_above_zero(greatest: f64) -> impl Fn(&field::Field<'_, '_>) -> Option<f64> {
    move |field| {
        let value = field.number(greatest)?;
        let greatest = greatest.to_string();
        let reason = problem::Reason::NotAboveZero { greatest };
        checked(field, (value > 0.0).then_some(value), reason)
    }
}

/// Reads `true` or `false`.
pub(crate) fn boolean(field: &field::Field<'_, '_>) -> Option<bool> {
    field.boolean()
}

/// Returns a reader of arrays; an invalid element is reported and replaced by its default.
pub(crate) fn list<'r, 'a: 'r, T: Default>(
    read: impl Fn(&field::Field<'r, 'a>) -> Option<T>,
) -> impl FnOnce(&field::Field<'r, 'a>) -> Option<Vec<T>> {
    move |field| {
        let elements = field.elements()?;
        let values = elements.iter().map(|field| read(field).unwrap_or_default());
        Some(values.collect())
    }
}

/// Reads the SHA-256 digest of an API key, in hexadecimal.
pub(crate) fn digest(field: &field::Field<'_, '_>) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    let decoded = hex::decode_to_slice(field.string()?, &mut digest);
    checked(
        field,
        decoded.ok().map(|()| digest),
        problem::Reason::InvalidDigest,
    )
}

/// Reads an HTTP method and a path prefix, separated by a space.
pub(crate) fn call(field: &field::Field<'_, '_>) -> Option<String> {
    let value = field.string()?;
    let valid = value.split_once(' ').is_some_and(|(method, path)| {
        !method.is_empty()
            && method.bytes().all(|b| b.is_ascii_uppercase())
            && path.starts_with('/')
            && path.bytes().all(|b| b.is_ascii_graphic())
    });
    checked(
        field,
        valid.then(|| value.to_owned()),
        problem::Reason::InvalidCall,
    )
}

/// Reads an IP address with a port.
pub(crate) fn address(field: &field::Field<'_, '_>) -> Option<net::SocketAddr> {
    let address = field.string()?.parse();
    checked(field, address.ok(), problem::Reason::InvalidAddress)
}

/// Reads a base URL whose host is an IP address with a port; trailing slashes are removed.
pub(crate) fn http_url(field: &field::Field<'_, '_>) -> Option<String> {
    let url = field.string()?.trim_end_matches('/');
    let address = url
        .strip_prefix("http://")
        .and_then(|rest| rest.parse().ok());
    let address: Option<net::SocketAddr> = address;
    checked(
        field,
        address.map(|_| url.to_owned()),
        problem::Reason::InvalidUrl,
    )
}

/// Reads a file path.
pub(crate) fn file(field: &field::Field<'_, '_>) -> Option<path::PathBuf> {
    let value = field.string()?;
    let valid = !value.is_empty() && value.len() <= MAX_PATH_BYTES && !value.contains('\0');
    let reason = problem::Reason::WrongType {
        expected: "a file path",
    };
    checked(field, valid.then(|| path::PathBuf::from(value)), reason)
}

/// Returns `value` and reports `reason` if it is `None`.
pub(crate) fn checked<T>(
    field: &field::Field<'_, '_>,
    value: Option<T>,
    reason: problem::Reason,
) -> Option<T> {
    if value.is_none() {
        field.add(reason);
    }
    value
}

fn restricted_name(
    field: &field::Field<'_, '_>,
    characters: &'static str,
    allowed: impl Fn(char) -> bool,
) -> Option<String> {
    let value = field.string()?;
    let valid = (1..=MAX_NAME_BYTES).contains(&value.len()) && value.chars().all(allowed);
    let reason = problem::Reason::InvalidName {
        limit: MAX_NAME_BYTES,
        characters,
    };
    checked(field, valid.then(|| value.to_owned()), reason)
}

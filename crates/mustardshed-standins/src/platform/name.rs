//! Names of kinds, objects and VMs.

use std::str;

use crate::platform::MAX_VALUE_BYTES;

/// Longest name of a kind or VM, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// An object's name in a path, decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathName(pub String);

impl str::FromStr for PathName {
    type Err = str::Utf8Error;

    fn from_str(segment: &str) -> Result<Self, Self::Err> {
        let name = percent_encoding::percent_decode_str(segment).decode_utf8()?;
        Ok(Self(name.into_owned()))
    }
}

/// Checks a kind or a VM's name.
///
/// # Errors
///
/// Returns a reason if the name is empty, too long, or holds more than letters, digits and `.`, `_`, `-`, `~`.
pub fn check(name: &str) -> Result<(), String> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(format!("a name has 1 to {MAX_NAME_BYTES} bytes"));
    }
    if name.bytes().all(is_allowed) {
        Ok(())
    } else {
        Err("a name has only letters, digits and . _ - ~".to_owned())
    }
}

/// Checks an object's name, which may be any text.
///
/// # Errors
///
/// Returns a reason if the name is empty or larger than an object may be.
pub fn check_object(name: &str) -> Result<(), String> {
    if name.is_empty() || name.len() > MAX_VALUE_BYTES {
        return Err(format!("an object's name has 1 to {MAX_VALUE_BYTES} bytes"));
    }
    Ok(())
}

const fn is_allowed(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-' | b'~')
}

//! Names of kinds, objects and VMs.

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Checks a kind, an object's name or a VM's name.
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

const fn is_allowed(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-' | b'~')
}

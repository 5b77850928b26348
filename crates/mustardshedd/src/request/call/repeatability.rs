//! Which calls of a plain service may be repeated.

/// Returns whether a call may be repeated by the `METHOD /path` prefixes of those that may not.
///
/// The path is compared as a server would read it: percent-decoded and without its query.
pub fn is_repeatable(non_repeatable: &[String], method: &str, path: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let path = decode(path);
    !non_repeatable.iter().any(|prefix| {
        let Some((prefix_method, prefix_path)) = prefix.split_once(' ') else {
            return false;
        };
        prefix_method.eq_ignore_ascii_case(method)
            && path.starts_with(prefix_path.trim_start().as_bytes())
    })
}

/// Returns whether a path has one meaning only: no empty, `.` or `..` segments, however encoded.
pub fn is_plain_path(path: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let decoded = decode(path);
    let Some(rest) = decoded.strip_prefix(b"/") else {
        return false;
    };
    let mut segments = rest.split(|byte| *byte == b'/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        let is_odd = matches!(segment, b"." | b"..") || (segment.is_empty() && !is_last);
        if is_odd || segment.contains(&b'\\') || segment.contains(&0) {
            return false;
        }
    }
    true
}

/// Returns the bytes of a path, percent-decoded.
fn decode(path: &str) -> Vec<u8> {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while let Some(byte) = bytes.get(index) {
        match escape(bytes.get(index..index + 3)) {
            Some(value) => {
                decoded.push(value);
                index += 3;
            }
            None => {
                decoded.push(*byte);
                index += 1;
            }
        }
    }
    decoded
}

/// Returns the byte that `%` and two hexadecimal digits stand for, if `bytes` are that.
fn escape(bytes: Option<&[u8]>) -> Option<u8> {
    let digits = bytes?.strip_prefix(b"%")?;
    let digits = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}

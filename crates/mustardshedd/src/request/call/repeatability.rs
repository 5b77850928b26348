//! Check whether a call of a plain service may be repeated.

/// Returns whether a call may be repeated.
///
/// `non_repeatable` holds `METHOD /path` prefixes of the calls that must not be. The path is
/// compared as a server interprets it: percent-decoded and without its query.
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

/// Returns whether a path is unambiguous, so that every server interprets it alike.
///
/// Such a path has no empty, `.` or `..` segments, backslashes or NUL bytes, however encoded; an
/// empty last segment (a trailing slash) is allowed.
pub fn is_plain_path(path: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let decoded = decode(path);
    let Some(rest) = decoded.strip_prefix(b"/") else {
        return false;
    };
    let mut segments = rest.split(|byte| *byte == b'/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        let is_ambiguous = matches!(segment, b"." | b"..") || (segment.is_empty() && !is_last);
        if is_ambiguous || segment.contains(&b'\\') || segment.contains(&0) {
            return false;
        }
    }
    true
}

/// Returns the percent-decoded bytes of a path.
fn decode(path: &str) -> Vec<u8> {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while let Some(byte) = bytes.get(index) {
        match decode_escape(bytes.get(index..index + 3)) {
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

/// Returns the byte that a percent escape encodes; `None` if `bytes` are no percent escape.
fn decode_escape(bytes: Option<&[u8]>) -> Option<u8> {
    let digits = bytes?.strip_prefix(b"%")?;
    let digits = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}

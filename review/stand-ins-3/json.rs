//! The little JSON that the stand-ins need.

/// Returns text as a JSON string.
pub fn quoted(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
    format!("\"{escaped}\"")
}

/// Returns the raw value of a field of an object, without looking into nested ones.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let (mut depth, mut at, mut key) = (0_i32, 0, None::<(usize, usize)>);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let start = at + 1;
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 && key.is_none() {
                    key = Some((start, at));
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b',' if depth == 1 => key = None,
            b':' if depth == 1 => {
                if let Some((start, end)) = key {
                    if &object[start..end] == name {
                        return Some(value(&object[at + 1..]));
                    }
                }
            }
            _ => {}
        }
        at += 1;
    }
    None
}

fn value(text: &str) -> &str {
    let text = text.trim_start();
    let (mut depth, mut is_string, mut is_escaped) = (0_i32, false, false);
    for (at, byte) in text.bytes().enumerate() {
        if is_string {
            if is_escaped {
                is_escaped = false;
            } else if byte == b'\\' {
                is_escaped = true;
            } else if byte == b'"' {
                is_string = false;
            }
            continue;
        }
        match byte {
            b'"' => is_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' if depth == 0 => return text[..at].trim_end(),
            b'}' | b']' => depth -= 1,
            _ => {}
        }
    }
    text.trim_end()
}

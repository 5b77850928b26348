//! The fields of an event as `name=value` text.

use std::fmt::{self, Write};

use crate::log::{event, value};

/// Writes the fields of an event as ` name=value`, quoted where a value has spaces.
pub struct Fields<'a>(pub &'a event::Event<'a>);

impl fmt::Display for Fields<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.visit(&mut |name, value| write_field(f, name, value))
    }
}

fn write_field(f: &mut fmt::Formatter<'_>, name: &str, value: &dyn value::Value) -> fmt::Result {
    let value = value.to_string();
    write!(f, " {name}=")?;
    if !value.is_empty() && value.chars().all(is_plain) {
        return f.write_str(&value);
    }
    f.write_char('"')?;
    for c in value.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if c.is_control() => write!(f, "{}", c.escape_default())?,
            c => f.write_char(c)?,
        }
    }
    f.write_char('"')
}

fn is_plain(c: char) -> bool {
    c.is_ascii_graphic() && !matches!(c, '"' | '\\' | '=')
}

//! Fills in the templates of process settings.
//!
//! The whole language of the platform's templates:
//!
//! `{{a.b}}` is a value as text and `{{a|json}}` the same as JSON; `{{#a}} .. {{/a}}` repeats for each
//! item of a list or table, or stands once for any other value but `false`; `{{^a}} .. {{/a}}` stands if
//! there is no value or it is `false`. Inside a section, `{{.}}` is the item, `{{@}}` its key or index
//! and `{{,}}` a comma after all items but the last.

use displaydoc::Display;
use serde_json::Value;

/// Why a template cannot be filled in.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Error {
    /// a tag has no end: {0}
    UnfinishedTag(String),
    /// a section has no end: {0}
    UnfinishedSection(String),
}

impl std::error::Error for Error {}

/// Fills in a template with the fields of `root`.
///
/// # Errors
///
/// Returns an error if a tag or a section has no end.
pub fn fill(template: &str, root: &Value) -> Result<String, Error> {
    let scope = Scope {
        item: root,
        key: String::new(),
        is_last: true,
        outer: None,
    };
    scope.fill(template)
}

/// The item of the innermost section, inside those around it.
struct Scope<'a> {
    item: &'a Value,
    key: String,
    is_last: bool,
    outer: Option<&'a Scope<'a>>,
}

impl Scope<'_> {
    fn fill(&self, mut rest: &str) -> Result<String, Error> {
        let mut out = String::new();
        while let Some((text, tagged)) = rest.split_once("{{") {
            out.push_str(text);
            let Some((tag, after)) = tagged.split_once("}}") else {
                return Err(Error::UnfinishedTag(tagged.to_owned()));
            };
            rest = after;
            let Some((kind, name)) = tag.split_at_checked(1) else {
                continue;
            };
            match kind {
                "#" | "^" => {
                    let (inner, after) = split_section(after, name)?;
                    rest = after;
                    out.push_str(&self.fill_section(kind == "#", name, inner)?);
                }
                _ => out.push_str(&self.value_of(tag)),
            }
        }
        out.push_str(rest);
        Ok(out)
    }

    fn fill_section(&self, is_positive: bool, name: &str, inner: &str) -> Result<String, Error> {
        let value = self.find(name);
        let value = value.filter(|value| !matches!(value, Value::Null | Value::Bool(false)));
        let Some(value) = value.filter(|_| is_positive) else {
            let stands = !is_positive && value.is_none();
            return if stands {
                self.fill(inner)
            } else {
                Ok(String::new())
            };
        };
        let items = items_of(value);
        let count = items.len();
        let filled = items.into_iter().enumerate().map(|(index, (key, item))| {
            let scope = Scope {
                item,
                key,
                is_last: index + 1 == count,
                outer: Some(self),
            };
            scope.fill(inner)
        });
        filled.collect()
    }

    fn value_of(&self, tag: &str) -> String {
        match tag {
            "@" => return self.key.clone(),
            "," if self.is_last => return String::new(),
            "," => return ",".to_owned(),
            _ => {}
        }
        let (name, is_json) = match tag.split_once('|') {
            Some((name, _)) => (name, true),
            None => (tag, false),
        };
        match self.find(name) {
            Some(value) if is_json => value.to_string(),
            Some(value) => text_of(value),
            None => String::new(),
        }
    }

    /// Returns a value by its path, looked up in the innermost item that has its first name.
    fn find(&self, path: &str) -> Option<&Value> {
        if path == "." {
            return Some(self.item);
        }
        let (first, rest) = path.split_once('.').unwrap_or((path, ""));
        let Some(found) = self.item.get(first) else {
            return self.outer?.find(path);
        };
        let mut names = rest.split('.').filter(|name| !name.is_empty());
        names.try_fold(found, |value, name| match name.parse::<usize>() {
            Ok(index) if value.is_array() => value.get(index),
            _ => value.get(name),
        })
    }
}

/// Splits the text after the beginning of a section into what is inside and what follows.
fn split_section<'t>(rest: &'t str, name: &str) -> Result<(&'t str, &'t str), Error> {
    let (begins, end) = (
        [format!("{{{{#{name}}}}}"), format!("{{{{^{name}}}}}")],
        format!("{{{{/{name}}}}}"),
    );
    let mut depth = 1;
    let mut from = 0;
    while let Some(at) = rest[from..].find("{{") {
        let at = from + at;
        let tag = &rest[at..];
        if begins.iter().any(|begin| tag.starts_with(begin)) {
            depth += 1;
        } else if tag.starts_with(&end) {
            depth -= 1;
        }
        if depth == 0 {
            return Ok((&rest[..at], &tag[end.len()..]));
        }
        from = at + "{{".len();
    }
    Err(Error::UnfinishedSection(name.to_owned()))
}

fn items_of(value: &Value) -> Vec<(String, &Value)> {
    match value {
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items
                .map(|(index, item)| (index.to_string(), item))
                .collect()
        }
        Value::Object(fields) => {
            let fields = fields.iter();
            fields.map(|(key, item)| (key.clone(), item)).collect()
        }
        _ => vec![(String::new(), value)],
    }
}

fn text_of(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(text_of).collect();
            items.join(",")
        }
        _ => value.to_string(),
    }
}

//! Patterns of calls: a method and the start of a path.

use std::str;

use displaydoc::Display;

/// a pattern has the form METHOD /path
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct PatternError;

impl std::error::Error for PatternError {}

/// A method and the start of a path, such as `POST /charge`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallPattern {
    method: String,
    prefix: String,
}

impl CallPattern {
    /// Returns whether a call matches this pattern.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.prefix)
    }
}

impl str::FromStr for CallPattern {
    type Err = PatternError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (method, prefix) = text.split_once(' ').ok_or(PatternError)?;
        if method.is_empty() || !prefix.starts_with('/') {
            return Err(PatternError);
        }
        Ok(Self {
            method: method.to_owned(),
            prefix: prefix.to_owned(),
        })
    }
}

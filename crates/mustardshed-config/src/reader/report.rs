//! Problems found so far, and the places of what was read.

use std::{cell, collections, ops};

use toml::de;

use crate::problem;

/// Longest value shown in a problem, in characters.
const SHOWN_CHARACTERS: usize = 80;

/// Problems of one document, with the span of every key that was read.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    source: &'a str,
    line_starts: Vec<usize>,
    spans: cell::RefCell<collections::BTreeMap<String, ops::Range<usize>>>,
    problems: cell::RefCell<Vec<problem::Problem>>,
}

impl<'a> Report<'a> {
    /// Makes an empty report on `source`.
    pub(crate) fn new(source: &'a str) -> Self {
        let after_newlines = source.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            source,
            line_starts: std::iter::once(0).chain(after_newlines).collect(),
            spans: cell::RefCell::default(),
            problems: cell::RefCell::default(),
        }
    }

    /// Remembers where the key at `path` stands.
    pub(crate) fn locate(&self, path: &str, span: ops::Range<usize>) {
        self.spans.borrow_mut().insert(path.to_owned(), span);
    }

    /// Adds a problem with the value that is written at `path`.
    pub(crate) fn add(&self, path: &str, reason: problem::Reason) {
        let value = self.written(path);
        self.push(self.line(path), path, value, reason);
    }

    /// Adds a problem with a value that is not written, or not shown as it is written.
    pub(crate) fn add_value(&self, path: &str, value: String, reason: problem::Reason) {
        self.push(self.line(path), path, value, reason);
    }

    /// Adds a problem with the key at `path`, whose span is known to its caller only.
    pub(crate) fn add_at(&self, path: &str, key_start: usize, reason: problem::Reason) {
        self.push(self.line_of(key_start), path, self.written(path), reason);
    }

    /// Adds a syntax error.
    pub(crate) fn add_syntax(&self, err: &de::Error) {
        let span = err.span().unwrap_or_default();
        let value = hide(self.line_at(span.start), self.slice(&span));
        let reason = problem::Reason::Syntax(err.message().to_owned());
        self.push(self.line_of(span.start), "", value, reason);
    }

    /// Returns the line of the key at `path`, or of the nearest table around it.
    pub(crate) fn line(&self, path: &str) -> usize {
        let spans = self.spans.borrow();
        let mut at = path;
        loop {
            if let Some(span) = spans.get(at) {
                return self.line_of(span.start);
            }
            let Some(end) = at.rfind(['.', '[']) else {
                return 1;
            };
            at = &at[..end];
        }
    }

    /// Returns all problems in the order of their lines.
    pub(crate) fn into_problems(self) -> Vec<problem::Problem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        problems
    }

    fn push(&self, line: usize, key: &str, value: String, reason: problem::Reason) {
        self.problems.borrow_mut().push(problem::Problem {
            line,
            key: key.to_owned(),
            value,
            reason,
        });
    }

    fn written(&self, path: &str) -> String {
        let Some(span) = self.spans.borrow().get(path).cloned() else {
            return String::new();
        };
        hide(path, self.slice(&span))
    }

    fn slice(&self, span: &ops::Range<usize>) -> String {
        let written = self.source.get(span.clone()).unwrap_or_default();
        let flat: String = written
            .chars()
            .map(|c| if c.is_control() { ' ' } else { c })
            .collect();
        shorten(flat.trim())
    }

    /// Returns the line that holds `at`, without its end.
    fn line_at(&self, at: usize) -> &str {
        let start = self.line_starts.get(self.line_of(at) - 1);
        let rest = start.and_then(|start| self.source.get(*start..));
        rest.and_then(|rest| rest.lines().next())
            .unwrap_or_default()
    }

    fn line_of(&self, at: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= at)
    }
}

/// Returns `value`, or only its length if someone may have pasted a key there.
///
/// `place` is the path of the value, or the line that holds it.
fn hide(place: &str, value: String) -> String {
    let key = place.split('=').next().unwrap_or(place);
    let key = key.rsplit('.').next().unwrap_or(key).trim();
    let is_file = key.ends_with("_file");
    let is_composite = value.starts_with(['{', '[']);
    if (names_secret(key) && !is_file) || (is_composite && names_secret(&value)) {
        return format!("({} characters, not shown)", value.chars().count());
    }
    value
}

/// Whether a word in `text` stands for a secret; amounts of tokens are none.
fn names_secret(text: &str) -> bool {
    let text = text.to_lowercase().replace("tokens", "");
    let words = ["key", "password", "secret", "token"];
    words.iter().any(|word| text.contains(word))
}

fn shorten(value: &str) -> String {
    if value.chars().count() <= SHOWN_CHARACTERS {
        return value.to_owned();
    }
    let start: String = value.chars().take(SHOWN_CHARACTERS).collect();
    format!("{start}...")
}

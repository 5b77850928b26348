//! Problems found so far, and the spans of the values that were read.

use std::{cell, collections, ops};

use toml::de;

use crate::problem;

/// Longest value shown in a problem, in characters; longer ones are cut.
const MAX_SHOWN_CHARACTERS: usize = 80;

/// Problems of one document, and the span of every value that was read, by path.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    source: &'a str,
    line_starts: Vec<usize>,
    spans: cell::RefCell<collections::BTreeMap<String, ops::Range<usize>>>,
    problems: cell::RefCell<Vec<problem::Problem>>,
}

impl<'a> Report<'a> {
    /// Returns an empty report on `source`.
    pub(crate) fn new(source: &'a str) -> Self {
        let after_newlines = source.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            source,
            line_starts: std::iter::once(0).chain(after_newlines).collect(),
            spans: cell::RefCell::default(),
            problems: cell::RefCell::default(),
        }
    }

    /// Records the span of the value at `path`.
    pub(crate) fn locate(&self, path: &str, span: ops::Range<usize>) {
        self.spans.borrow_mut().insert(path.to_owned(), span);
    }

    /// Adds a problem with the value at `path`, shown as written.
    pub(crate) fn add(&self, path: &str, reason: problem::Reason) {
        let value = self.written(path);
        self.push(self.line(path), path, value, reason);
    }

    /// Adds a problem with the value at `path`, shown as `value`.
    pub(crate) fn add_value(&self, path: &str, value: String, reason: problem::Reason) {
        self.push(self.line(path), path, value, reason);
    }

    /// Adds a problem with the key at `path`, which starts at byte `key_start`.
    pub(crate) fn add_at(&self, path: &str, key_start: usize, reason: problem::Reason) {
        self.push(self.line_of(key_start), path, self.written(path), reason);
    }

    /// Adds a syntax error.
    pub(crate) fn add_syntax(&self, err: &de::Error) {
        let span = err.span().unwrap_or_default();
        let value = redact(self.line_at(span.start), self.slice(&span));
        let reason = problem::Reason::Syntax(err.message().to_owned());
        self.push(self.line_of(span.start), "", value, reason);
    }

    /// Returns the line of the value at `path`, or of the nearest enclosing table.
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

    /// Returns all problems, ordered by line and key.
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
        redact(path, self.slice(&span))
    }

    fn slice(&self, span: &ops::Range<usize>) -> String {
        let written = self.source.get(span.clone()).unwrap_or_default();
        let flat: String = written
            .chars()
            .map(|c| if c.is_control() { ' ' } else { c })
            .collect();
        shorten(flat.trim())
    }

    /// Returns the line that contains byte `at`, without its line ending.
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

/// Returns `value`, or only its length if it may contain an API key or another secret.
///
/// `place` is the path of the value, or the line that contains it.
fn redact(place: &str, value: String) -> String {
    let key = place.split('=').next().unwrap_or(place);
    let key = key.rsplit('.').next().unwrap_or(key).trim();
    let is_file = key.ends_with("_file");
    let is_composite = value.starts_with(['{', '[']);
    if (mentions_secret(key) && !is_file) || (is_composite && mentions_secret(&value)) {
        return format!("({} characters, not shown)", value.chars().count());
    }
    value
}

/// Whether `text` contains a word for a secret; `tokens` in names of counts is ignored.
fn mentions_secret(text: &str) -> bool {
    let text = text.to_lowercase().replace("tokens", "");
    let words = ["key", "password", "secret", "token"];
    words.iter().any(|word| text.contains(word))
}

fn shorten(value: &str) -> String {
    if value.chars().count() <= MAX_SHOWN_CHARACTERS {
        return value.to_owned();
    }
    let start: String = value.chars().take(MAX_SHOWN_CHARACTERS).collect();
    format!("{start}...")
}

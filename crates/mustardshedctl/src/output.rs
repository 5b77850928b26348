//! Prints results as text or JSON.

use std::io::{self, Write};

use crate::{exit, failure};

/// Result of a command, for people and for programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Exit status of the program.
    pub status: exit::ExitStatus,
    /// The result as text.
    pub text: String,
    /// Lines of text that are not part of the result, printed on standard error.
    pub notes: Vec<String>,
    /// The result as JSON.
    pub json: serde_json::Value,
}

impl Output {
    /// Creates the output of a command that succeeded.
    pub const fn done(text: String, json: serde_json::Value) -> Self {
        Self {
            status: exit::ExitStatus::Done,
            text,
            notes: Vec::new(),
            json,
        }
    }

    /// Sets the exit status of the program.
    #[must_use]
    pub const fn status(mut self, status: exit::ExitStatus) -> Self {
        self.status = status;
        self
    }

    /// Adds a line that is not part of the result.
    #[must_use]
    pub fn note(mut self, note: impl Into<String>) -> Self {
        self.notes.push(note.into());
        self
    }

    /// Prints the result on standard output and, unless it is JSON, notes on standard error.
    pub fn print(&self, as_json: bool) {
        if as_json {
            print_line(&self.json.to_string());
            return;
        }
        for note in &self.notes {
            print_note(note);
        }
        if !self.text.is_empty() {
            print_line(self.text.trim_end_matches('\n'));
        }
    }
}

impl From<&failure::Failure> for Output {
    fn from(failure: &failure::Failure) -> Self {
        let details = failure.details();
        let json = serde_json::json!({
            "status": failure.exit_status().as_str(),
            "error": failure.to_string(),
            "details": details,
        });
        let mut output = Self::done(String::new(), json).status(failure.exit_status());
        output.notes.push(format!("error: {failure}"));
        output.notes.extend(details);
        output
    }
}

// Write errors are ignored, so that a closed pipe does not make the program fail.
fn print_line(line: &str) {
    let _ = writeln!(io::stdout().lock(), "{line}");
}

fn print_note(line: &str) {
    let _ = writeln!(io::stderr().lock(), "{line}");
}

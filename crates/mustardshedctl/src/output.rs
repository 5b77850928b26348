//! Printing, as text or as JSON.

use std::io::{self, Write};

use crate::{exit, failure};

/// What a command found out.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// How the program ends.
    pub status: exit::ExitStatus,
    /// Lines for a person.
    pub text: String,
    /// Lines for a person that are no part of the result.
    pub notes: Vec<String>,
    /// The same for a program.
    pub json: serde_json::Value,
}

impl Output {
    /// Makes the output of a command that is done.
    pub const fn done(text: String, json: serde_json::Value) -> Self {
        Self {
            status: exit::ExitStatus::Done,
            text,
            notes: Vec::new(),
            json,
        }
    }

    /// Sets how the program ends.
    #[must_use]
    pub const fn status(mut self, status: exit::ExitStatus) -> Self {
        self.status = status;
        self
    }

    /// Adds a line that is no part of the result.
    #[must_use]
    pub fn note(mut self, note: impl Into<String>) -> Self {
        self.notes.push(note.into());
        self
    }

    /// Prints it: the result on standard output, notes on standard error.
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

// A closed pipe is no reason to fail.
fn print_line(line: &str) {
    let _ = writeln!(io::stdout().lock(), "{line}");
}

fn print_note(line: &str) {
    let _ = writeln!(io::stderr().lock(), "{line}");
}

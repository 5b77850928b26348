//! Reads the decisions about one request from the entries' logs.

use std::{fs, path};

/// Returns the log lines that name a request, each prefixed with its entry.
pub fn of_request(logs: &[path::PathBuf], request_id: &str) -> Vec<String> {
    logs.iter()
        .flat_map(|log| lines_of(log, request_id))
        .collect()
}

fn lines_of(log: &path::Path, request_id: &str) -> Vec<String> {
    let entry = log.file_stem().unwrap_or_default().to_string_lossy();
    let text = fs::read(log).unwrap_or_default();
    String::from_utf8_lossy(&text)
        .lines()
        .filter(|line| line.contains(request_id))
        .map(|line| format!("{entry}: {line}"))
        .collect()
}

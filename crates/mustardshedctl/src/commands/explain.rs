//! `explain`: shows where a prompt would be routed, and why.

use crate::{
    commands,
    commands::{context, table, value},
    entries, failure, output,
};

/// Queries an entry for where it would route a prompt.
///
/// # Errors
///
/// Returns an error if a name has invalid characters, no entry responds, or the account or service
/// is not known.
pub async fn run(cx: &context::Context, query: &entries::ExplainQuery) -> commands::Result {
    check_name("--account", &query.account)?;
    check_name("--service", &query.service)?;
    let response = cx
        .call_any(async |entries, address| entries.explain(&address, query).await)
        .await?;
    Ok(output::Output::done(text(&response), response))
}

fn check_name(flag: &str, name: &str) -> Result<(), failure::Failure> {
    let is_safe = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-');
    if !name.is_empty() && name.bytes().all(is_safe) {
        return Ok(());
    }
    let reason = format!("{flag} may contain only letters, digits, _ and -");
    Err(failure::Failure::Usage(reason))
}

fn text(response: &serde_json::Value) -> String {
    let decision = match response.get("decision") {
        None | Some(serde_json::Value::Null) => "would not be routed".to_owned(),
        Some(decision) => format!("would go to {}", value::fields(decision).join(", ")),
    };
    let mut lines = vec![decision];
    if let Some(reason) = response.get("reason").and_then(serde_json::Value::as_str) {
        lines.push(format!("because {reason}"));
    }
    let candidates = response
        .get("candidates")
        .and_then(serde_json::Value::as_array);
    if let Some(candidates) = candidates {
        lines.push(String::new());
        lines.push(candidates_table(candidates).to_string());
    }
    lines.join("\n")
}

fn candidates_table(candidates: &[serde_json::Value]) -> table::Table {
    let mut rows = table::Table::new(&["candidate", "estimate", "reason"]);
    for candidate in candidates {
        let cell = |key| {
            candidate
                .get(key)
                .map_or_else(|| "-".to_owned(), value::plain)
        };
        let estimate = candidate
            .get("estimate_ms")
            .and_then(serde_json::Value::as_u64);
        let estimate = estimate.map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms"));
        rows.push(&[&cell("server"), &estimate, &cell("reason")]);
    }
    rows
}

//! `diff`: shows what a configuration text would change.

use mustardshed::config::text;

use crate::{apply, commands, commands::context, failure, output, record_change};

/// Compares a configuration text with the one in force.
///
/// # Errors
///
/// Returns an error if the text is not valid or the platform cannot be read.
pub async fn run(cx: &context::Context, source: &str) -> commands::Result {
    text::parse(source).map_err(failure::Failure::Text)?;
    let current = apply::Current::read(cx.platform()?).await?;
    let record = current.record.as_ref();
    let current_text = record.map_or("", |record| record.text.as_str());
    let changes = record_change::between_texts(current_text, source);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let json = serde_json::json!({ "generation": current.generation(), "changes": lines });
    let text = if lines.is_empty() {
        "no differences".to_owned()
    } else {
        lines.join("\n")
    };
    let note = format!("compared with generation {}", current.generation());
    Ok(output::Output::done(text, json).note(note))
}

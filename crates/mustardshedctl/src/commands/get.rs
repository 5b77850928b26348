//! `get`: prints a configuration.

use mustardshed::{
    core::{ids, version::record},
    wire::configuration,
};

use crate::{apply, commands, commands::context, failure, output};

/// Prints the configuration of a generation, or the one in force.
///
/// # Errors
///
/// Returns an error if there is no such configuration or the platform cannot be read.
pub async fn run(cx: &context::Context, generation: Option<ids::Generation>) -> commands::Result {
    let record = read(cx, generation).await?;
    let out: Vec<&str> = record.data_centres_out.iter().map(String::as_str).collect();
    let out = if out.is_empty() {
        "none".to_owned()
    } else {
        out.join(", ")
    };
    let note = format!(
        "# generation {} by {}; data centres out: {out}",
        record.generation, record.author
    );
    let json = serde_json::to_value(configuration::Record::from(record.clone()));
    let json = json.unwrap_or(serde_json::Value::Null);
    Ok(output::Output::done(record.text, json).note(note))
}

async fn read(
    cx: &context::Context,
    generation: Option<ids::Generation>,
) -> Result<record::Record, failure::Failure> {
    let current = apply::Current::read(cx.platform()?).await?;
    let Some(generation) = generation else {
        return current.record.ok_or(failure::Failure::NoConfiguration);
    };
    if let Some(record) = current.record
        && record.generation == generation
    {
        return Ok(record);
    }
    let stored = apply::read_history(cx.platform()?, generation).await?;
    stored.ok_or(failure::Failure::UnknownGeneration(generation))
}

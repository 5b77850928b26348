//! `history`: lists the accepted configurations and what each changed.

use mustardshed::{
    core::{boundary::platform, version::record},
    wire::configuration,
};

use crate::{apply, commands, commands::context, failure, output, record_change};

/// Lists the configurations of the history and the current one, oldest first.
///
/// # Errors
///
/// Returns an error if the platform cannot be read.
pub async fn run(cx: &context::Context) -> commands::Result {
    let records = read(cx).await?;
    let mut lines = Vec::new();
    let mut items = Vec::new();
    for (i, record) in records.iter().enumerate() {
        let before = i.checked_sub(1).and_then(|before| records.get(before));
        let changes: Vec<String> = record_change::between(before, record)
            .iter()
            .map(ToString::to_string)
            .collect();
        lines.push(format!(
            "generation {} by {}",
            record.generation, record.author
        ));
        lines.extend(changes.iter().map(|change| format!("  {change}")));
        items.push(serde_json::json!({
            "generation": record.generation,
            "author": record.author,
            "data_centres_out": record.data_centres_out,
            "changes": changes,
        }));
    }
    let json = serde_json::json!({ "history": items });
    Ok(output::Output::done(lines.join("\n"), json))
}

async fn read(cx: &context::Context) -> Result<Vec<record::Record>, failure::Failure> {
    let purpose = platform::Purpose::Configuration;
    let kind = platform::ObjectKind::History;
    let objects = cx.platform()?.list(purpose, kind, "").await?;
    let mut records = objects
        .iter()
        .map(|object| configuration::decode(&object.value))
        .collect::<Result<Vec<record::Record>, _>>()
        .map_err(|err| apply::ReadError::Invalid(err.to_string()))?;
    if let Some(current) = apply::Current::read(cx.platform()?).await?.record {
        records.push(current);
    }
    records.sort_by_key(|record| record.generation);
    records.dedup_by_key(|record| record.generation);
    Ok(records)
}

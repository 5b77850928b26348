//! `data-centre list`: lists the data centres and whether they are in service.

use mustardshed::config::text;

use crate::{
    apply, commands,
    commands::{context, table},
    output,
};

/// Lists every data centre of the configuration text, and those that are out of service but not in
/// the text.
///
/// # Errors
///
/// Returns an error if the platform cannot be read.
pub async fn list(cx: &context::Context) -> commands::Result {
    let current = apply::Current::read(cx.platform()?).await?;
    let generation = current.generation();
    let (source, out) = current.record.map_or_else(Default::default, |record| {
        (record.text, record.data_centres_out)
    });
    let text = text::parse(&source).unwrap_or_default();
    let mut rows = table::Table::new(&["data centre", "region", "state"]);
    let mut items = Vec::new();
    let not_in_text = out
        .iter()
        .filter(|name| !text.data_centres.contains_key(*name));
    for name in text.data_centres.keys().chain(not_in_text) {
        let region = text.data_centres.get(name).map(|item| item.region.as_str());
        let state = if out.contains(name) { "out" } else { "in" };
        rows.push(&[name, region.unwrap_or("-"), state]);
        items.push(serde_json::json!({ "name": name, "region": region, "state": state }));
    }
    let json = serde_json::json!({ "generation": generation, "data_centres": items });
    let note = format!("generation {generation}");
    Ok(output::Output::done(rows.to_string(), json).note(note))
}

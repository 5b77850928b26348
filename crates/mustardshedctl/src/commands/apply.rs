//! `apply`, `data-centre out` and `data-centre in`: changes the configuration.

use mustardshed::{
    config::text,
    core::{boundary::platform, ids},
};

use crate::{apply, commands, commands::context, exit, failure, output, wait};

/// Applies `edit` to the current configuration; with `wait`, waits until the entries confirm it.
///
/// # Errors
///
/// Returns an error if it was not written, or if it is unknown whether it was.
pub async fn run(
    cx: &context::Context,
    edit: &apply::Edit,
    expected: Option<ids::Generation>,
    wait: bool,
) -> commands::Result {
    if let apply::Edit::Text(source) = edit {
        text::parse(source).map_err(failure::Failure::Text)?;
    }
    let (platform, entries) = (cx.platform()?, cx.entries()?);
    let writer = apply::Writer::new(platform, entries, &cx.author);
    let receipt = writer.write(edit, expected).await?;
    let generation = receipt.record.generation;
    let mut output = accepted(&receipt);
    if wait {
        let confirmation =
            wait::until_confirmed(platform, entries, generation, cx.wait_timeout).await;
        output = with_confirmation(output, confirmation);
    }
    Ok(output)
}

fn accepted(receipt: &apply::Receipt) -> output::Output {
    let generation = receipt.record.generation;
    let warnings: Vec<String> = receipt.warnings.iter().map(ToString::to_string).collect();
    let json = serde_json::json!({
        "status": exit::ExitStatus::Done.as_str(),
        "generation": generation,
        "data_centres_out": receipt.record.data_centres_out,
        "live_entries": receipt.live,
        "acknowledged": receipt.acknowledged,
        "warnings": warnings,
    });
    let text = format!(
        "generation {generation} accepted; {} of {} live entries acknowledged the intent",
        receipt.acknowledged, receipt.live
    );
    let mut output = output::Output::done(text, json);
    output
        .notes
        .extend(warnings.iter().map(|warning| format!("warning: {warning}")));
    output
}

fn with_confirmation(
    mut output: output::Output,
    confirmation: Result<wait::Confirmation, platform::PlatformError>,
) -> output::Output {
    let (confirmed, missing) = match confirmation {
        Ok(confirmation) => (confirmation.confirmed, strings(&confirmation.unconfirmed)),
        Err(err) => (
            0,
            vec![format!("cannot read the platform's list of entries: {err}")],
        ),
    };
    output
        .text
        .push_str(&format!("\nin force at {confirmed} live entries"));
    output.json["confirmed"] = confirmed.into();
    output.json["unconfirmed"] = missing.clone().into();
    if !missing.is_empty() {
        output.status = exit::ExitStatus::Unconfirmed;
        output.json["status"] = output.status.as_str().into();
    }
    let missing = missing.iter().map(|line| format!("not confirmed: {line}"));
    output.notes.extend(missing);
    output
}

fn strings<T: ToString>(items: &[T]) -> Vec<String> {
    items.iter().map(ToString::to_string).collect()
}

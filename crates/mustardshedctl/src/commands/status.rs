//! `status`: shows the state of each entry and of the backend servers.

mod placement;

use futures_util::future;
use mustardshed::{
    core::{ids, process::placement::record},
    wire::{operator, placement as wire},
};

use crate::{
    apply, commands,
    commands::{context, table},
    entries, exit, failure, output,
};

/// Address of an entry, and its status or the failed call.
type EntryResponse = (String, Result<operator::Status, entries::EntryError>);

/// Queries all entries for their status.
///
/// An entry that does not respond is shown as such. The generation that the platform holds is left
/// out if it cannot be read.
///
/// # Errors
///
/// Returns an error if no entry is known; if none responds, the exit status is `failed`.
pub async fn run(cx: &context::Context) -> commands::Result {
    let entries = cx.entries()?;
    let addresses = cx.addresses().await?;
    let accepted = accepted_generation(cx).await;
    let statuses = addresses.iter().map(|address| entries.status(address));
    let statuses = future::join_all(statuses).await;
    let responses: Vec<EntryResponse> = addresses.into_iter().zip(statuses).collect();
    let lease = placement::read(cx).await;
    let json = serde_json::json!({
        "accepted_generation": accepted.as_ref().ok(),
        "placement": lease.clone().map(wire::Record::from),
        "entries": responses.iter().map(response_json).collect::<Vec<_>>(),
    });
    let mut output = output::Output::done(text(&accepted, &responses, lease.as_ref()), json);
    output.notes = responses.iter().filter_map(failure_note).collect();
    if output.notes.len() == responses.len() {
        output.status = exit::ExitStatus::Failed;
    }
    Ok(output)
}

/// Returns a line on an entry whose call failed.
fn failure_note((address, response): &EntryResponse) -> Option<String> {
    let err = response.as_ref().err()?;
    Some(format!("{address}: {err}"))
}

fn text(
    accepted: &Result<ids::Generation, failure::Failure>,
    responses: &[EntryResponse],
    lease: Option<&record::Record>,
) -> String {
    let accepted = match accepted {
        Ok(generation) => format!("generation {generation}"),
        Err(err) => format!("unknown: {err}"),
    };
    let lease = placement::text(lease);
    let mut text = format!(
        "accepted: {accepted}\n{lease}\n{}",
        entries_table(responses)
    );
    if let Some(status) = responses
        .iter()
        .find_map(|(_, response)| response.as_ref().ok())
    {
        text.push_str(&format!("\nbackend servers as seen by {}:\n", status.vm));
        text.push_str(&servers_table(status).to_string());
    }
    text
}

async fn accepted_generation(cx: &context::Context) -> Result<ids::Generation, failure::Failure> {
    let current = apply::Current::read(cx.platform()?).await?;
    Ok(current.generation())
}

fn response_json((address, response): &EntryResponse) -> serde_json::Value {
    serde_json::json!({
        "address": address,
        "status": response.as_ref().ok(),
        "error": response.as_ref().err().map(ToString::to_string),
    })
}

fn entries_table(responses: &[EntryResponse]) -> table::Table {
    let header = [
        "entry",
        "vm",
        "data centre",
        "generation",
        "may place",
        "state",
        "out",
        "members live",
    ];
    let mut rows = table::Table::new(&header);
    for (address, response) in responses {
        match response {
            Ok(status) => push_entry(&mut rows, address, status),
            Err(_) => rows.push(&[address, "-", "-", "-", "-", "no answer", "-", "-"]),
        }
    }
    rows
}

fn push_entry(rows: &mut table::Table, address: &str, status: &operator::Status) {
    let out: Vec<&str> = status.data_centres_out.iter().map(String::as_str).collect();
    let live = status.members.iter().filter(|member| member.live).count();
    rows.push(&[
        address,
        &status.vm,
        &status.data_centre,
        &status.generation.to_string(),
        &format!("{} ms", status.may_place_ms),
        if status.leaving { "leaving" } else { "live" },
        &if out.is_empty() {
            "-".to_owned()
        } else {
            out.join(",")
        },
        &format!("{live}/{}", status.members.len()),
    ]);
}

fn servers_table(status: &operator::Status) -> table::Table {
    let header = [
        "server",
        "kind",
        "data centre",
        "state",
        "epoch",
        "memory used",
        "prefill queued",
        "running",
        "steward",
    ];
    let mut rows = table::Table::new(&header);
    for server in &status.servers {
        rows.push(&[
            &server.id,
            &server.kind,
            &server.data_centre,
            state(server),
            &server.epoch.to_string(),
            &format!("{}/{}", server.used_tokens, server.memory_tokens),
            &server.queued_prefill_tokens.to_string(),
            &server.running.to_string(),
            server.steward.as_deref().unwrap_or("-"),
        ]);
    }
    rows
}

fn state(server: &operator::ServerStatus) -> &str {
    match (server.reachable, server.leaving) {
        (false, _) => "unreachable",
        (true, true) => "leaving",
        (true, false) => &server.warmth,
    }
}

//! The catalogues in the docs list the same events and errors as the code.

use googletest::prelude::*;
use mustardshed::core::error;
use mustardshedd::log::event;

const EVENTS: &str = include_str!("../../../../docs/EVENTS.md");
const ERRORS: &str = include_str!("../../../../docs/ERRORS.md");

#[gtest]
fn every_event_is_catalogued_and_no_other() -> Result<()> {
    let expected: Vec<_> = event::Event::CATALOGUE.iter().map(event_row).collect();

    let rows = rows(EVENTS);

    verify_that!(rows, container_eq(expected))
}

#[gtest]
fn event_numbers_and_names_are_unique_and_in_order() -> Result<()> {
    let numbers: Vec<_> = event::Event::CATALOGUE.iter().map(|e| e.number).collect();
    let mut names: Vec<_> = event::Event::CATALOGUE.iter().map(|e| e.name).collect();
    names.sort_unstable();
    names.dedup();

    verify_that!(numbers.is_sorted_by(|a, b| a < b), eq(true))?;
    verify_that!(names.len(), eq(numbers.len()))
}

#[gtest]
fn every_error_kind_is_catalogued_and_no_other() -> Result<()> {
    let expected: Vec<_> = error::ErrorKind::ALL.iter().map(error_row).collect();

    let rows = rows(ERRORS);

    verify_that!(rows, container_eq(expected))
}

fn event_row(event: &mustardshedd::log::catalogue::EventInfo) -> String {
    let fields: Vec<_> = event.fields.iter().map(|f| format!("`{f}`")).collect();
    format!(
        "| {} | `{}` | {} | {} | {} |",
        event.number,
        event.name,
        event.level.to_lowercase(),
        fields.join(", "),
        event.meaning.trim()
    )
}

fn error_row(kind: &error::ErrorKind) -> String {
    let answer = kind.to_response();
    let retry = answer
        .retry_after
        .map_or("no".to_owned(), |delay| format!("{} s", delay.as_secs()));
    format!(
        "| `{kind:?}` | {} | `{}` | `{}` | {retry} | {kind} |",
        answer.status, answer.code, answer.class
    )
}

/// Returns the rows below the header of the only table of a page.
fn rows(page: &str) -> Vec<String> {
    page.lines()
        .filter(|line| line.starts_with('|'))
        .skip(2)
        .map(str::to_owned)
        .collect()
}

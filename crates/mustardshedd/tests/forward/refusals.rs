//! Statuses of refusals, compared with the documentation.

use std::collections;

use googletest::prelude::*;
use mustardshedd::forward::refusal;

const PAGE: &str = include_str!("../../../../docs/PLATFORM.md");

/// Returns the status of each kind of refusal that the page lists.
fn statuses_of_page() -> collections::BTreeMap<&'static str, u16> {
    let section = PAGE.split("## What callers are told").nth(1).unwrap();
    let section = section.split("\n## ").next().unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let rows = rows.map(|row| row.split('|').map(str::trim).collect::<Vec<_>>());
    rows.flat_map(|cells| {
        let status: u16 = cells[2].parse().unwrap();
        let codes = cells[1].split(", ").map(|code| code.trim_matches('`'));
        codes.map(move |code| (code, status)).collect::<Vec<_>>()
    })
    .collect()
}

#[gtest]
fn every_refusal_is_on_the_page_with_its_status_and_no_other() -> Result<()> {
    let refusals = refusal::Refusal::ALL.iter();
    let expected: collections::BTreeMap<&str, u16> = refusals
        .map(|refusal| (refusal.code(), refusal.status().as_u16()))
        .collect();

    verify_that!(statuses_of_page(), eq(&expected))
}

#[gtest]
fn only_requests_that_have_not_run_get_a_retry_delay() -> Result<()> {
    for refusal in refusal::Refusal::ALL {
        let has_not_run = refusal.status() == http::StatusCode::SERVICE_UNAVAILABLE;
        expect_that!(
            refusal.retry_after().is_some(),
            eq(has_not_run),
            "{refusal}"
        );
    }
    Ok(())
}

//! The table of which server probably has which prompt prefix cached.

use std::time;

use googletest::prelude::*;
use mustardshed_core::request::prefix;

const NOW: time::Duration = time::Duration::from_secs(1_000);

#[gtest]
fn longest_shared_prefix_is_found() -> Result<()> {
    let table = prefix::Table::new(1_024);
    let prompt = vec![b'h'; 40_000];
    let mut other = prompt.clone();
    other[5_000] = b'x';
    let server = prefix::ServerTag::new("r1", 1);
    table.insert(&prefix::prefix_hashes("m", &prompt, 4), server, NOW);

    let same = table.find(&prefix::prefix_hashes("m", &prompt, 4), NOW);
    let start = table.find(&prefix::prefix_hashes("m", &other, 4), NOW);
    let model = table.find(&prefix::prefix_hashes("n", &prompt, 4), NOW);
    let late = table.find(&prefix::prefix_hashes("m", &prompt, 4), NOW * 2);

    verify_that!(same, some(eq((server, 8_192))))?;
    verify_that!(start, some(eq((server, 1_024))))?;
    verify_that!(model, none())?;
    verify_that!(late, none())
}

#[gtest]
fn short_prompts_have_no_prefix() -> Result<()> {
    let hashes = prefix::prefix_hashes("m", &[b'h'; 1_023], 4);

    verify_that!(hashes.len(), eq(0))
}

#[gtest]
fn server_that_turned_cold_has_another_tag() -> Result<()> {
    let warm = prefix::ServerTag::new("r1", 1);

    verify_that!(prefix::ServerTag::new("r1", 2), not(eq(warm)))
}

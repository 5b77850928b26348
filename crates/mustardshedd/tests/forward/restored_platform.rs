//! Restorations of the platform's store from a copy.

use std::time;

use googletest::prelude::*;
use serde_json::json;

use crate::{fixture, server};

/// Versions of the configuration that are written between the copy and the restoration.
const LOST_VERSIONS: u64 = 8;
/// Time after the restoration in which calls of the platform are counted.
const COUNTED: time::Duration = time::Duration::from_secs(2);
/// Most calls of two entries in that time: four kinds are listed and watched, with retries.
const MAX_CALLS: u64 = 60;

/// Returns the version of the configuration in force at an entry.
fn version(entry: &fixture::Entry) -> u64 {
    let state = entry.cx.state();
    state.view.routes().map_or(0, |routes| routes.version)
}

async fn wait_for_version(entry: &fixture::Entry, wanted: u64) {
    fixture::wait_until("the version to be in force", || version(entry) == wanted).await;
}

// Guards against configurations that are ignored after a restoration of the platform's store, as
// their revisions are lower than those known from before (CONFIG).
#[gtest]
#[tokio::test]
async fn configuration_written_after_a_restoration_is_in_force_in_time() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    f.copy_platform().await;
    let entries = [
        f.entry("entry-1").await.ready().await,
        f.entry("entry-2").await.ready().await,
    ];
    fixture::wait_until_acquainted(&[&entries[0], &entries[1]]).await;
    for lost in 2..2 + LOST_VERSIONS {
        f.configure(lost, &[fixture::KEY]).await;
    }
    for entry in &entries {
        wait_for_version(entry, 1 + LOST_VERSIONS).await;
    }

    f.restore_platform().await;
    let calls_before = f.platform_calls().await;
    tokio::time::sleep(COUNTED).await;
    let calls = f.platform_calls().await - calls_before;
    let kept = entries.each_ref().map(version);
    f.configure(20, &[fixture::KEY]).await;
    tokio::time::sleep(COUNTED).await;

    expect_that!(kept, each(eq(1 + LOST_VERSIONS)));
    expect_that!(calls, le(MAX_CALLS));
    verify_that!(entries.each_ref().map(version), each(eq(20)))
}

// Guards against entries that stay unknown to the others because the platform has lost their
// registrations.
#[gtest]
#[tokio::test]
async fn registration_lost_in_a_restoration_is_written_again() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    f.copy_platform().await;
    let entries = [
        f.entry("entry-1").await.ready().await,
        f.entry("entry-2").await.ready().await,
    ];
    fixture::wait_until_acquainted(&[&entries[0], &entries[1]]).await;

    f.restore_platform().await;
    f.write("evacuations", "south", json!({})).await;
    tokio::time::sleep(COUNTED).await;
    let late = f.entry("entry-3").await.ready().await;

    fixture::wait_until_acquainted(&[&entries[0], &entries[1], &late]).await;
    Ok(())
}

//! Fleets of real processes: an accepted configuration comes into force at every entry and never
//! reverts.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

use std::{collections, time};

use futures_util::future;
use googletest::prelude::*;
use mustardshed_standins::{
    caller,
    demo::{check, prompt},
    fleet::{self, spec},
    storm::entry_log,
};
use serde_json::json;
use tokio::sync;

const ACCOUNT: &str = "st-marks";
const MODEL: &str = "drafting-drafts";
const OUTPUT_TOKENS: u64 = 4;
const ENTRIES: usize = 3;
const ENGINES: usize = 3;
/// Time within which a change of the configuration or of the platform's faults must take effect.
const EFFECT_TIME: time::Duration = time::Duration::from_secs(5);
/// Interval between reads of the logs.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Longest wait for a generation, beyond which a test fails.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Fleets run one at a time, since each is a dozen processes.
static ONE_AT_A_TIME: sync::Mutex<()> = sync::Mutex::const_new(());

struct Fixture {
    fleet: fleet::Fleet,
    _turn: sync::MutexGuard<'static, ()>,
}

async fn fixture() -> Fixture {
    let turn = ONE_AT_A_TIME.lock().await;
    let spec = spec::Spec::small(ENGINES, ENTRIES);
    Fixture {
        fleet: fleet::Fleet::start(&spec).await.unwrap(),
        _turn: turn,
    }
}

impl Fixture {
    async fn platform_faults(&self, faults: serde_json::Value) {
        let platform = &self.fleet.platform;
        self.fleet.set_faults(platform, &faults).await.unwrap();
    }

    /// Returns the number of writes of the configuration that took effect.
    async fn accepted(&self) -> u64 {
        let url = format!("{}/admin/writes", self.fleet.platform.url());
        let writes = self.fleet.get(&url).await.unwrap();
        let writes = writes.as_array().unwrap().iter();
        let accepted = writes.filter(|write| write["kind"] == "configuration");
        accepted.count().try_into().unwrap()
    }

    /// Returns the generation that a read of the platform returns.
    async fn shown(&self) -> u64 {
        let url = format!(
            "{}/api/objects/configuration/current",
            self.fleet.platform.url()
        );
        let record = self.fleet.get(&url).await.unwrap();
        record["spec"]["generation"].as_u64().unwrap()
    }

    /// Returns the generations that came into force in the latest run of an entry, in order.
    fn generations(&self, entry: usize) -> Vec<u64> {
        let log = self.fleet.entries[entry].logs.last().unwrap();
        let in_force = entry_log::in_force(log);
        in_force.iter().map(|seen| seen.generation).collect()
    }

    /// Waits until every entry has had `generation` in force.
    async fn wait_in_force(&self, generation: u64) {
        let begun = time::Instant::now();
        while (0..ENTRIES).any(|entry| !self.generations(entry).contains(&generation)) {
            let seen: Vec<_> = (0..ENTRIES).map(|entry| self.generations(entry)).collect();
            assert!(begun.elapsed() < TIMEOUT, "{generation} not in {seen:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Fails unless the generations of every entry increased and ended with `generation`.
    fn assert_never_reverted(&self, generation: u64) {
        for entry in 0..ENTRIES {
            let seen = self.generations(entry);
            let increases = seen.is_sorted_by(|a, b| a < b);
            assert_that!(increases, eq(true), "entry {entry}: {seen:?}");
            assert_that!(seen.last(), some(eq(&generation)), "entry {entry}");
        }
    }

    /// Sends prompts to every entry and returns the servers that worked on them.
    async fn prompts(&self, title: &str) -> collections::BTreeSet<String> {
        let prompts = (0..12).map(|i| self.prompt(i % ENTRIES, format!("{title} {i}")));
        let servers = future::join_all(prompts).await;
        servers.into_iter().flatten().collect()
    }

    async fn prompt(&self, entry: usize, title: String) -> Vec<String> {
        let prompt = prompt::of_tokens(&title, 20_000);
        let url = self.fleet.entries[entry].url();
        let caller = caller::Caller::open(&url, &fleet::key_of(ACCOUNT));
        let result = caller.complete(MODEL, &prompt, OUTPUT_TOKENS, |_| {}).await;
        let completion = result.unwrap();
        check::completion(&prompt, OUTPUT_TOKENS, &completion).unwrap();
        caller.fate(&completion.request_id).await.unwrap().servers
    }

    fn engines_of(&self, data_centre: &str) -> collections::BTreeSet<String> {
        let engines = self.fleet.spec.engines.iter();
        let there = engines.filter(|engine| engine.data_centre == data_centre);
        there.map(|engine| engine.name.clone()).collect()
    }
}

#[tokio::test]
async fn stale_read_at_a_restart_in_an_outage_restores_no_old_configuration() {
    let mut f = fixture().await;
    // Later the platform returns stale reads, of its state before the second configuration.
    tokio::time::sleep(3 * EFFECT_TIME).await;
    f.fleet.ctl(&["data-centre", "out", "east"]).await.unwrap();
    f.wait_in_force(2).await;
    tokio::time::sleep(EFFECT_TIME).await;

    f.platform_faults(json!({ "outage": true })).await;
    let files = f.fleet.files.clone();
    f.fleet.entries[0].restart(&files).unwrap();
    f.wait_in_force(2).await;
    f.platform_faults(json!({ "outage": false, "stale_reads_ms": 15_000 }))
        .await;
    tokio::time::sleep(EFFECT_TIME).await;
    let shown = f.shown().await;
    let servers = f.prompts("draft").await;
    f.platform_faults(json!({ "stale_reads_ms": 0 })).await;
    tokio::time::sleep(EFFECT_TIME).await;

    assert_that!(shown, eq(1));
    f.assert_never_reverted(2);
    assert_that!(f.generations(0), eq(&vec![2]));
    assert_that!(servers.is_disjoint(&f.engines_of("east")), eq(true));
    assert_that!(f.accepted().await, eq(2));
}

#[tokio::test]
async fn racing_operators_get_one_order_that_every_entry_follows() {
    let f = fixture().await;
    let text = f.fleet.files.text_file.display().to_string();
    let changes = [
        vec!["data-centre", "out", "east"],
        vec!["data-centre", "in", "east"],
        vec!["apply", text.as_str()],
        vec!["data-centre", "out", "mid"],
    ];
    let mut done = 1;

    for _ in 0..4 {
        let ended = changes.iter().map(|args| f.fleet.ctl(args));
        let ended = future::join_all(ended).await;
        done += ended.iter().filter(|ended| ended.is_ok()).count() as u64;
    }
    let accepted = f.accepted().await;
    f.wait_in_force(accepted).await;

    assert_that!(accepted, eq(done));
    assert_that!(accepted, ge(5));
    f.assert_never_reverted(accepted);
}

#[tokio::test]
async fn accepted_write_whose_response_was_lost_is_in_force_and_survives_an_outage() {
    let f = fixture().await;
    // Entries can vote for the configuration once confirmed for longer than an intent stays valid.
    tokio::time::sleep(EFFECT_TIME).await;
    f.platform_faults(json!({ "lose_answers": 1, "lose_answers_kind": "configuration" }))
        .await;

    f.fleet.ctl(&["data-centre", "out", "east"]).await.unwrap();
    let accepted = f.accepted().await;
    f.platform_faults(json!({ "outage": true })).await;
    f.wait_in_force(2).await;
    tokio::time::sleep(EFFECT_TIME).await;
    let servers = f.prompts("draft").await;

    assert_that!(accepted, eq(2));
    f.assert_never_reverted(2);
    assert_that!(servers.is_disjoint(&f.engines_of("east")), eq(true));
}

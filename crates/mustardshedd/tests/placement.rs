//! Placement by real processes: a new model version reaches the engines, whichever entry holds the
//! lease.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

use std::{fs, time};

use googletest::prelude::*;
use mustardshed_standins::{
    caller,
    demo::{check, prompt},
    fleet::{self, spec},
};
use serde_json::json;

const MODEL: &str = "drafting-drafts";
const OUTPUT_TOKENS: u64 = 8;
/// Time in which the first holder has compared the engines with the configuration.
const SETTLED: time::Duration = time::Duration::from_secs(8);
/// Time in which a version is loaded everywhere, even if the lease changes hands.
const LOADED_WITHIN: time::Duration = time::Duration::from_secs(90);

async fn fixture() -> fleet::Fleet {
    let mut spec = spec::Spec::small(3, 3);
    for engine in &mut spec.engines {
        engine.fencing = "ignored".to_owned();
    }
    fleet::Fleet::start(&spec).await.unwrap()
}

/// Applies a configuration with another version of the model.
async fn apply_version(fleet: &fleet::Fleet, version: u32) {
    let text = fleet.spec.text();
    let text = text.replace("version = \"1\"", &format!("version = \"{version}\""));
    let file = fleet.files.folder.join(format!("version-{version}.toml"));
    fs::write(&file, text).unwrap();
    let file = file.display().to_string();
    fleet.ctl(&["apply", &file]).await.unwrap();
}

/// Waits until every engine reports a version of the model.
async fn wait_loaded(fleet: &fleet::Fleet, version: u32) {
    let begun = time::Instant::now();
    let expected = json!({ "psalter": version.to_string() });
    for engine in &fleet.engines {
        let url = format!("{}/v1/load", engine.url());
        while fleet.get(&url).await.unwrap()["models"] != expected {
            assert_that!(begun.elapsed(), lt(LOADED_WITHIN), "{}", decisions(fleet));
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
    }
}

/// Returns the orders that each engine got, each with its fencing number.
async fn orders(fleet: &fleet::Fleet) -> Vec<Vec<(u64, String)>> {
    let mut orders = Vec::new();
    for engine in &fleet.engines {
        let url = format!("{}/admin/records", engine.url());
        let records = fleet.get(&url).await.unwrap();
        let of_engine = records["orders"].as_array().unwrap().iter().map(|order| {
            let version = &order["order"]["load_model"]["version"];
            let version = version.as_str().unwrap_or("other").to_owned();
            (order["fence"].as_u64().unwrap(), version)
        });
        orders.push(of_engine.collect());
    }
    orders
}

/// Returns the index of the entry that the lease object on the platform names as holder.
async fn holder(fleet: &fleet::Fleet) -> usize {
    let url = format!("{}/api/objects/lease/placement", fleet.platform.url());
    let lease = fleet.get(&url).await.unwrap();
    let holder = lease["spec"]["holder"].as_str().unwrap().to_owned();
    let is_holder = |entry: &fleet::entry::Entry| holder.starts_with(&format!("{}.", entry.vm_id));
    fleet.entries.iter().position(is_holder).unwrap()
}

/// Sends a prompt to an entry and checks the completion.
async fn prompt(fleet: &fleet::Fleet, entry: usize) {
    let key = fleet::key_of("st-marks");
    let caller = caller::Caller::open(&fleet.entries[entry].url(), &key);
    let prompt = prompt::of_tokens("draft", 1_000);
    let completion = caller.complete(MODEL, &prompt, OUTPUT_TOKENS, |_| {}).await;
    let completion = completion.map_err(|e| format!("{e:?}\n{}", decisions(fleet)));
    check::completion(&prompt, OUTPUT_TOKENS, &completion.unwrap()).unwrap();
}

/// Returns the log lines about placement, to explain a failure.
fn decisions(fleet: &fleet::Fleet) -> String {
    let log = |entry: &fleet::entry::Entry| {
        let log = fleet.files.folder.join(format!("{}.log", entry.vm_id));
        fs::read_to_string(log).unwrap_or_default()
    };
    let logs: Vec<String> = fleet.entries.iter().map(log).collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let lines: Vec<&str> = lines.filter(|line| line.contains("placement_")).collect();
    lines.join("\n")
}

#[tokio::test]
async fn new_version_is_ordered_once_for_each_engine_by_the_holder_of_the_lease() {
    let mut fleet = fixture().await;
    tokio::time::sleep(SETTLED).await;
    let unneeded = orders(&fleet).await;

    apply_version(&fleet, 2).await;
    wait_loaded(&fleet, 2).await;
    let of_first = orders(&fleet).await;
    prompt(&fleet, 0).await;
    let first = holder(&fleet).await;
    fleet.entries[first].process.kill();
    apply_version(&fleet, 3).await;
    wait_loaded(&fleet, 3).await;
    let second = holder(&fleet).await;
    prompt(&fleet, second).await;
    let of_both = orders(&fleet).await;

    assert_that!(unneeded, each(is_empty()));
    let two = (1, "2".to_owned());
    assert_that!(of_first, each(eq(&vec![two.clone()])));
    assert_that!(second, not(eq(first)));
    assert_that!(of_both, each(eq(&vec![two, (2, "3".to_owned())])));
}

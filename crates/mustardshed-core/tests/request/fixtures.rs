//! Snapshots and configurations for the tests.

use std::{collections, sync, time};

use mustardshed_config::text;
use mustardshed_core::{boundary::backend_server, process::snapshot, request::route::work};

/// Returns `count` warm engines named `r00`, `r01`, ... in the data centres `a`, `b`, `c` in turn.
pub fn snapshot(count: usize) -> snapshot::Snapshot {
    let servers = (0..count).map(|index| {
        let data_centre = ["a", "b", "c"][index % 3];
        server(&format!("r{index:02}"), data_centre)
    });
    snapshot::Snapshot {
        taken_at: time::Duration::ZERO,
        vm: "e1".to_owned(),
        incarnation: 1,
        data_centre: "a".to_owned(),
        generation: 1,
        text: sync::Arc::new(text()),
        data_centres_out: collections::BTreeSet::new(),
        may_place_until: time::Duration::from_secs(2),
        leaving: false,
        servers: servers.map(|s| (s.id.clone(), s)).collect(),
        members: collections::BTreeMap::new(),
        latencies: collections::BTreeMap::new(),
    }
}

/// Returns an idle warm engine.
pub fn server(id: &str, data_centre: &str) -> snapshot::ServerView {
    snapshot::ServerView {
        id: id.to_owned(),
        address: format!("{id}:1"),
        kind: "k".to_owned(),
        data_centre: data_centre.to_owned(),
        warmth: backend_server::Warmth::Warm,
        epoch: 1,
        reachable: true,
        leaving: false,
        models: collections::BTreeMap::from([("m".to_owned(), "1".to_owned())]),
        memory_tokens: 1_000_000,
        used_tokens: 0,
        queued_prefill_tokens: 0,
        running: 0,
        prefill_tokens_per_second: 0.0,
        reported_at: time::Duration::ZERO,
        steward: Some("e1".to_owned()),
    }
}

/// Returns a configuration with one engine kind, one model, and services of which `s` depends on
/// `t` and `t` on `u`.
pub fn text() -> text::Text {
    let kind = text::EngineKind {
        name: "k".to_owned(),
        memory_tokens: 1_000_000,
        max_running: 8,
        cold_limit: 2,
        warm_after: 3,
        prefill_tokens_per_second: 10_000,
        fencing: text::Fencing::Checked,
    };
    let model = text::Model {
        name: "m".to_owned(),
        engine_kind: "k".to_owned(),
        version: "1".to_owned(),
        context_tokens: 4_000_000,
        bytes_per_token: 4,
        adapters: Vec::new(),
    };
    let services = [
        service("s", model_backing(), &["t"]),
        service("t", model_backing(), &["u"]),
        service("u", plain_backing(), &[]),
    ];
    text::Text {
        data_centres: collections::BTreeMap::new(),
        engine_kinds: collections::BTreeMap::from([("k".to_owned(), kind)]),
        models: collections::BTreeMap::from([("m".to_owned(), model)]),
        services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
        client_accounts: collections::BTreeMap::new(),
    }
}

fn model_backing() -> text::Backing {
    text::Backing::Model {
        model: "m".to_owned(),
    }
}

fn plain_backing() -> text::Backing {
    text::Backing::Plain {
        non_repeatable: Vec::new(),
        max_running: 4,
        cold_limit: 1,
    }
}

fn service(name: &str, backing: text::Backing, depends_on: &[&str]) -> text::Service {
    text::Service {
        name: name.to_owned(),
        backing,
        depends_on: depends_on.iter().map(|&s| s.to_owned()).collect(),
        default_deadline: time::Duration::from_secs(10),
        max_deadline: time::Duration::from_secs(60),
        retry_percent: 10,
    }
}

/// Returns the work of a prompt for the model of [`text`].
pub fn prompt(text: &text::Text, tokens: u64, seed: u64) -> work::Work<'_> {
    let target = work::Target::Model {
        model: &text.models["m"],
        kind: &text.engine_kinds["k"],
    };
    work::Work::new(target, seed).tokens(tokens, 100)
}

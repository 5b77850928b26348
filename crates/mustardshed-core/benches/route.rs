//! Decision time per request against the number of backend servers.

use std::{collections, hint, sync, time};

use mustardshed_config::text;
use mustardshed_core::{
    border::backend_server,
    process::snapshot,
    request::route::{self, work},
};

/// Sizes of the fleet: today's, and eight and 32 times as many runners.
const SERVERS: [usize; 3] = [26, 210, 840];
const NOW: time::Duration = time::Duration::from_secs(1);

fn server(index: usize) -> snapshot::ServerView {
    snapshot::ServerView {
        id: format!("runner-{index:04}"),
        address: format!("10.0.{}.{}:8000", index / 250, index % 250),
        kind: "runner".to_owned(),
        data_centre: ["north", "middle", "south"][index % 3].to_owned(),
        warmth: backend_server::Warmth::Warm,
        epoch: 1,
        reachable: true,
        leaving: false,
        models: collections::BTreeMap::from([("drafter".to_owned(), "7".to_owned())]),
        memory_tokens: 400_000,
        used_tokens: (index as u64 * 7_919) % 400_000,
        queued_prefill_tokens: (index as u64 * 104_729) % 60_000,
        running: (index % 24) as u32,
        prefill_tokens_per_second: 20_000.0,
        reported_at: time::Duration::from_millis(900),
        steward: Some("entry-1".to_owned()),
    }
}

fn snapshot(servers: usize) -> snapshot::Snapshot {
    let distance = |name: &str, micros| (name.to_owned(), time::Duration::from_micros(micros));
    snapshot::Snapshot {
        taken_at: NOW,
        vm: "entry-1".to_owned(),
        incarnation: 1,
        data_centre: "north".to_owned(),
        generation: 1,
        text: sync::Arc::new(text::Text::default()),
        data_centres_out: collections::BTreeSet::from(["south".to_owned()]),
        may_place_until: time::Duration::from_secs(2),
        leaving: false,
        servers: (0..servers)
            .map(server)
            .map(|s| (s.id.clone(), s))
            .collect(),
        members: collections::BTreeMap::new(),
        distances: collections::BTreeMap::from([
            distance("north", 100),
            distance("middle", 1_500),
            distance("south", 1_500),
        ]),
    }
}

fn kind() -> text::EngineKind {
    text::EngineKind {
        name: "runner".to_owned(),
        memory_tokens: 400_000,
        max_running: 32,
        cold_limit: 2,
        warm_after: 8,
        prefill_tokens_per_second: 20_000,
        fencing: text::Fencing::Checked,
    }
}

fn model() -> text::Model {
    text::Model {
        name: "drafter".to_owned(),
        engine_kind: "runner".to_owned(),
        version: "7".to_owned(),
        context_tokens: 1_100_000,
        bytes_per_token: 4,
        adapters: Vec::new(),
    }
}

fn decide(c: &mut criterion::Criterion) {
    let (model, kind) = (model(), kind());
    let mut group = c.benchmark_group("decide");
    for servers in SERVERS {
        let snapshot = snapshot(servers);
        let mut seed = 0;
        group.bench_function(criterion::BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| {
                seed += 1;
                let target = work::Target::Model {
                    model: &model,
                    kind: &kind,
                };
                let work = work::Work::new(target, seed).tokens(2_000, 200);
                hint::black_box(route::decide(&snapshot, &work, NOW))
            });
        });
    }
    group.finish();
}

criterion::criterion_group!(benches, decide);
criterion::criterion_main!(benches);

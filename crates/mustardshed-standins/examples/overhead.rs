//! Measures the overhead of an entry in time to first token and in CPU time per token.
//!
//! One engine gets every other request directly and the others through one entry, in one run.

use std::{error, time};

use mustardshed_standins::{
    fleet::{self, spec},
    load::{plan, run},
};

#[tokio::main]
async fn main() -> Result<(), Box<dyn error::Error>> {
    let flags = xflags::parse_or_exit! {
        /// Requests per second through the entry, 200 by default
        optional --rate rate: f64
        /// Seconds of each measurement, 20 by default
        optional --seconds seconds: u64
        /// Seed, 1 by default
        optional --seed seed: u64
        /// Output length of each request in tokens, 32 by default
        optional --output-tokens tokens: u64
    };
    let fleet = fleet::Fleet::start(&spec()).await?;
    let entry = &fleet.entries[0];
    let plan = plan::Plan {
        entries: vec![entry.url()],
        direct: Some(fleet.engines[0].url()),
        model: "psalter".to_owned(),
        accounts: vec![plan::Account {
            name: "st-marks".to_owned(),
            key: fleet::key_of("st-marks"),
            weight: 1,
        }],
        rate: 2.0 * flags.rate.unwrap_or(200.0),
        duration: time::Duration::from_secs(flags.seconds.unwrap_or(20)),
        seed: flags.seed.unwrap_or(1),
        prompt_tokens: Some(1_000),
        output_tokens: flags.output_tokens.unwrap_or(32),
        cpu_pids: vec![entry.process.id()],
        ..plan::Plan::default()
    };
    let idle = plan::Plan {
        rate: 0.1,
        ..plan.clone()
    };
    println!("idle:\n{}", run::run(idle).await?);
    println!("busy:\n{}", run::run(plan).await?);
    Ok(())
}

/// Returns one entry before one engine that is never the bottleneck.
fn spec() -> spec::Spec {
    let mut spec = spec::Spec::small(1, 1);
    for engine in &mut spec.engines {
        engine.memory_tokens = 4_000_000;
        engine.prefill_tps = 4_000_000;
        engine.decode_tps = 500;
        engine.max_running = 1_024;
    }
    spec.time_scale = 1.0;
    spec
}

//! Measures the cost of an entry at a deployment's current size, idle and under load.

use std::{error, time};

use mustardshed_standins::{
    entry_cost::{cost, sample},
    experiment::deployment,
    fleet,
    load::{plan, run},
};

/// Time for the fleet to become idle.
const REST: time::Duration = time::Duration::from_secs(5);

#[tokio::main]
async fn main() -> Result<(), Box<dyn error::Error>> {
    let flags = xflags::parse_or_exit! {
        /// Deployment: bindery (default) or haulers
        optional --deployment name: String
        /// Requests per second over all entries while busy, 40 by default
        optional --rate rate: f64
        /// Seconds of each measurement, idle and busy, 30 by default
        optional --seconds seconds: u64
        /// Length of the prompts in tokens, 2000 by default
        optional --prompt-tokens tokens: u64
        /// Seed, 1 by default
        optional --seed seed: u64
    };
    let deployment = match flags.deployment.as_deref() {
        None | Some("bindery") => deployment::BINDERY,
        Some("haulers") => deployment::HAULERS,
        Some(other) => return Err(format!("--deployment {other}: no such deployment").into()),
    };
    let seconds = time::Duration::from_secs(flags.seconds.unwrap_or(30));
    let fleet = fleet::Fleet::start(&deployment.spec("estimate", 1.0)).await?;
    let accounts = deployment::accounts().into_iter();
    let accounts = accounts.map(|(name, weight)| plan::Account {
        key: fleet::key_of(&name),
        name,
        weight,
    });
    let plan = plan::Plan {
        entries: fleet.entries.iter().map(|entry| entry.url()).collect(),
        discover: true,
        model: deployment.model.to_owned(),
        accounts: accounts.collect(),
        rate: flags.rate.unwrap_or(40.0),
        duration: seconds,
        seed: flags.seed.unwrap_or(1),
        prompt_tokens: Some(flags.prompt_tokens.unwrap_or(2_000)),
        ..plan::Plan::default()
    };
    tokio::time::sleep(REST).await;
    let at_rest = sample::Sample::take(&fleet).await?;
    tokio::time::sleep(seconds).await;
    let before = sample::Sample::take(&fleet).await?;
    let report = run::run(plan).await?;
    let after = sample::Sample::take(&fleet).await?;
    println!("idle:\n{}", cost::Cost::between(&at_rest, &before));
    println!("busy:\n{}", cost::Cost::between(&before, &after));
    println!("load:\n{report}");
    Ok(())
}

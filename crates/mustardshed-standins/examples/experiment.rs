//! Runs the experiment: one deployment, chosen scenarios and policies, several seeds.

use std::{error, fs, io::Write, path::PathBuf, time};

use mustardshed_standins::experiment::{Done, Run, deployment, plot, scenario, table};

/// Routing policies; all but the first are baselines.
const POLICIES: [&str; 4] = [
    "estimate",
    "round_robin",
    "least_requests",
    "prefix_affinity",
];

#[tokio::main]
async fn main() -> Result<(), Box<dyn error::Error>> {
    let flags = xflags::parse_or_exit! {
        /// Deployment: bindery (default) or haulers
        optional --deployment name: String
        /// Scenario: all (default), mixed, short, data-centre, slow-engine, flood, overload
        optional --scenario name: String
        /// Number of seeds, 3 by default
        optional --seeds count: u64
        /// Seconds of load on the load's clock, 60 by default
        optional --seconds seconds: u64
        /// Seconds of the load's clock per second of the wall clock, 4 by default
        optional --time-scale factor: f64
        /// Leave out the baselines
        optional --no-baselines
        /// Leave out the delays between data centres and to callers
        optional --no-delays
        /// Folder for the plots, docs/plots by default
        optional --plots folder: PathBuf
    };
    let deployment = match flags.deployment.as_deref() {
        None | Some("bindery") => deployment::BINDERY,
        Some("haulers") => deployment::HAULERS,
        Some(other) => return Err(format!("--deployment {other}: no such deployment").into()),
    };
    let deployment = if flags.no_delays {
        deployment.without_delays()
    } else {
        deployment
    };
    let folder = flags.plots.unwrap_or_else(|| PathBuf::from("docs/plots"));
    fs::create_dir_all(&folder)?;
    let mut all: Vec<Done> = Vec::new();
    print!("{}", table::head());
    for scenario in scenarios(flags.scenario.as_deref().unwrap_or("all")) {
        for routing in policies(scenario, flags.no_baselines) {
            for seed in 1..=flags.seeds.unwrap_or(3) {
                let run = Run {
                    deployment,
                    scenario,
                    routing,
                    seed,
                    duration: time::Duration::from_secs(flags.seconds.unwrap_or(60)),
                    time_scale: flags.time_scale.unwrap_or(4.0),
                };
                let done = run.carry_out().await?;
                print!("{}", table::line(&done));
                std::io::stdout().flush()?;
                all.push(done);
            }
        }
        let runs: Vec<&Done> = all.iter().filter(|d| d.run.scenario == scenario).collect();
        let name = scenario.to_string().replace(['%', ' '], "-");
        let title = format!("{}, {scenario}", deployment.name);
        let file = folder.join(format!("{}-{name}.svg", deployment.name));
        plot::first_token(&file, &title, &runs)?;
    }
    Ok(())
}

fn scenarios(name: &str) -> Vec<scenario::Scenario> {
    use scenario::Scenario;
    let mixed = [0.5, 0.8, 1.0].map(Scenario::Mixed).to_vec();
    match name {
        "mixed" => mixed,
        "short" => vec![Scenario::Mixed(0.8), Scenario::ShortOnly(0.8)],
        "data-centre" => vec![Scenario::DataCentreOut(0.7)],
        "slow-engine" => vec![Scenario::SlowEngine(0.5)],
        "flood" => vec![Scenario::Mixed(0.5), Scenario::Flood(0.5)],
        "overload" => vec![Scenario::Overload],
        _ => {
            let others = [
                Scenario::ShortOnly(0.8),
                Scenario::DataCentreOut(0.7),
                Scenario::SlowEngine(0.5),
                Scenario::Flood(0.5),
                Scenario::Overload,
            ];
            mixed.into_iter().chain(others).collect()
        }
    }
}

/// Returns the policies of a scenario; baselines are compared on the mixed load only.
fn policies(scenario: scenario::Scenario, no_baselines: bool) -> Vec<&'static str> {
    let is_compared = matches!(scenario, scenario::Scenario::Mixed(_)) && !no_baselines;
    let count = if is_compared { POLICIES.len() } else { 1 };
    POLICIES.iter().copied().take(count).collect()
}

//! Open-loop load generator; see `docs/STANDINS.md`.

// The flags macro accepts no paths as types.
use std::{error, fs, path::PathBuf, time};

use mustardshed_standins::load::{plan, run};

/// Flags of the program.
struct Flags {
    plan: plan::Plan,
    json: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn error::Error>> {
    let flags = flags_of_command_line()?;
    let report = run::run(flags.plan).await?;
    print!("{report}");
    if let Some(path) = flags.json {
        fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    Ok(())
}

fn flags_of_command_line() -> Result<Flags, String> {
    let flags = xflags::parse_or_exit! {
        /// Base URL of an entry
        repeated --entry url: String
        /// Ask the entries which of them to use
        optional --discover
        /// Base URL of an engine that gets every other request directly
        optional --direct url: String
        /// Model
        optional --model name: String
        /// Client account, as NAME=KEY=WEIGHT
        repeated --account account: String
        /// Requests per second
        optional --rate rate: f64
        /// Duration of the load, in seconds
        optional --seconds seconds: f64
        /// Seed of arrivals, lengths and texts
        optional --seed seed: u64
        /// Changes all texts and nothing else, so that a repeated run finds nothing cached
        optional --text-salt salt: u64
        /// Seconds of the load's clock per second of the wall clock
        optional --time-scale factor: f64
        /// Leave out the long prompts
        optional --short-only
        /// Fixed length of all prompts in tokens, instead of the distribution
        optional --prompt-tokens tokens: u64
        /// Length of all outputs in tokens
        optional --output-tokens tokens: u64
        /// Timeout of every request in milliseconds
        optional --deadline-ms ms: u64
        /// One-way delay between callers and entries in microseconds
        optional --caller-delay-us us: u64
        /// Process whose CPU time is measured
        repeated --cpu-pid pid: u32
        /// File for the report as JSON
        optional --json file: PathBuf
    };
    let base = plan::Plan::default();
    let accounts: Result<_, String> = flags.account.iter().map(|a| account_of(a)).collect();
    let plan = plan::Plan {
        entries: flags.entry,
        discover: flags.discover,
        direct: flags.direct,
        model: flags.model.unwrap_or(base.model),
        accounts: accounts?,
        rate: flags.rate.unwrap_or(base.rate),
        duration: duration_of(flags.seconds)?.unwrap_or(base.duration),
        seed: flags.seed.unwrap_or(base.seed),
        text_salt: flags.text_salt.unwrap_or(base.text_salt),
        time_scale: flags.time_scale.unwrap_or(base.time_scale),
        short_only: flags.short_only,
        prompt_tokens: flags.prompt_tokens,
        output_tokens: flags.output_tokens.unwrap_or(base.output_tokens),
        deadline: flags
            .deadline_ms
            .map_or(base.deadline, time::Duration::from_millis),
        caller_delay: flags
            .caller_delay_us
            .map_or(base.caller_delay, time::Duration::from_micros),
        cpu_pids: flags.cpu_pid,
    };
    Ok(Flags {
        plan,
        json: flags.json,
    })
}

fn duration_of(seconds: Option<f64>) -> Result<Option<time::Duration>, String> {
    let duration = seconds.map(time::Duration::try_from_secs_f64);
    duration.transpose().map_err(|e| format!("--seconds: {e}"))
}

fn account_of(text: &str) -> Result<plan::Account, String> {
    let malformed = || format!("--account {text}: expected NAME=KEY=WEIGHT");
    let (name, rest) = text.split_once('=').ok_or_else(malformed)?;
    let (key, weight) = rest.rsplit_once('=').ok_or_else(malformed)?;
    Ok(plan::Account {
        name: name.to_owned(),
        key: key.to_owned(),
        weight: weight.parse().map_err(|_| malformed())?,
    })
}

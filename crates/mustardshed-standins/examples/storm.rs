//! Storm of faults against a fleet of real processes; exits with 1 if a promise was violated.

// The flags macro accepts no paths as types.
use std::{path::PathBuf, process, time};

use mustardshed_standins::storm::{self, plan};

#[tokio::main]
async fn main() -> process::ExitCode {
    let plan = plan_of_flags();
    println!("seed {}, {} s", plan.seed, plan.duration.as_secs());
    match storm::raise(&plan).await {
        Ok(report) => {
            print!("{report}");
            match report.is_ok() {
                true => process::ExitCode::SUCCESS,
                false => process::ExitCode::FAILURE,
            }
        }
        Err(e) => {
            eprintln!("storm: {e}");
            process::ExitCode::from(2)
        }
    }
}

fn plan_of_flags() -> plan::Plan {
    let flags = xflags::parse_or_exit! {
        /// How long faults and load last, in seconds; 180 if absent
        optional --seconds seconds: u64
        /// Seed of faults and load; 1 if absent
        optional --seed seed: u64
        /// How long the fleet rests before it is looked at, in seconds; 30 if absent
        optional --rest-seconds seconds: u64
        /// Folder to which the entries' logs are copied
        optional --keep-logs folder: PathBuf
    };
    let base = plan::Plan::default();
    let seconds = |seconds: Option<u64>| seconds.map(time::Duration::from_secs);
    plan::Plan {
        duration: seconds(flags.seconds).unwrap_or(base.duration),
        seed: flags.seed.unwrap_or(base.seed),
        rest: seconds(flags.rest_seconds).unwrap_or(base.rest),
        keep_logs: flags.keep_logs,
    }
}

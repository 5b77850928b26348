//! Chaos test: a storm of faults against a fleet of real processes under mixed load.
//!
//! A seed determines which entries are killed, suspended and stopped, when the platform is down,
//! slow or silent, what operators and backend servers do, and the load during the faults.
//! Afterwards every promise is checked against the records of stand-ins and callers.
//!
//! ```no_run
//! use mustardshed_standins::storm::{self, plan};
//!
//! # async fn example() -> Result<(), mustardshed_standins::fleet::FleetError> {
//! let report = storm::raise(&plan::Plan::default()).await?;
//! println!("{report}");
//! assert!(report.is_ok());
//! # Ok(())
//! # }
//! ```

use std::{collections, fs, path, sync, time};

use crate::{
    fleet::{self, Fleet, FleetError, entry},
    unix_time,
};

pub mod attempt;
pub mod caller;
pub mod change;
pub mod checks;
pub mod entry_list;
pub mod entry_log;
pub mod evidence;
pub mod fault;
pub mod faults;
pub mod fleet_spec;
pub mod note;
pub mod operators;
pub mod plan;
pub mod records;
pub mod report;
pub mod schedule;
pub mod stop;
pub mod timeline;
pub mod traffic;
pub mod verdict;

/// Duration of the load before the first fault.
const WARM_UP: time::Duration = time::Duration::from_secs(2);

type SharedFleet = sync::Arc<tokio::sync::Mutex<Fleet>>;

/// Runs a storm, leaves the fleet without load for `plan.rest`, and checks every promise.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or its records cannot be read.
pub async fn raise(plan: &plan::Plan) -> Result<report::Report, FleetError> {
    let spec = fleet_spec::spec();
    let fleet = Fleet::start(&spec).await?;
    let key = fleet::key_of(&spec.accounts[0].0);
    let urls: Vec<String> = fleet.entries.iter().map(entry::Entry::url).collect();
    let traffic = sync::Arc::new(traffic::Traffic::new(urls, key, plan.seed));
    let fleet: SharedFleet = sync::Arc::new(tokio::sync::Mutex::new(fleet));
    let faults = sync::Arc::new(faults::Faults::new(sync::Arc::clone(&fleet)).await);

    let start_ms = unix_time::now_ms();
    let calls_before = records::call_counts(&*fleet.lock().await).await?;
    let offered = sync::Arc::clone(&traffic).offer(WARM_UP + plan.duration);
    let struck = async {
        tokio::time::sleep(WARM_UP).await;
        let planned = schedule::of_seed(plan.seed, plan.duration);
        sync::Arc::clone(&faults).strike(planned).await;
    };
    tokio::join!(offered, struck);
    let ended_ms = unix_time::now_ms();
    let calls_after = records::call_counts(&*fleet.lock().await).await?;

    tokio::time::sleep(plan.rest).await;
    let fleet = fleet.lock().await;
    let calls_rested = records::call_counts(&fleet).await?;
    if let Some(folder) = &plan.keep_logs {
        keep_logs(&fleet, folder)?;
    }
    let evidence = evidence(&fleet, &traffic, &faults, (start_ms, ended_ms)).await?;
    Ok(report::Report {
        verdicts: checks::all(&evidence),
        storm_calls: report::difference(&calls_before, &calls_after),
        rest_calls: report::difference(&calls_after, &calls_rested),
        rest: plan.rest,
        storm: time::Duration::from_millis(ended_ms - start_ms),
        operators: faults.operators_ended(),
        failures: faults.failures(),
        evidence,
    })
}

async fn evidence(
    fleet: &Fleet,
    traffic: &traffic::Traffic,
    faults: &faults::Faults,
    storm_ms: (u64, u64),
) -> Result<evidence::Evidence, FleetError> {
    Ok(evidence::Evidence {
        records: records::Records::read(fleet).await?,
        completions: note::all(&traffic.notes.completions),
        charges: note::all(&traffic.notes.charges),
        fates: note::all(&traffic.notes.fates),
        spans: faults.timeline.spans(),
        stops: faults.stops(),
        runs: runs(fleet),
        vms: fleet
            .entries
            .iter()
            .map(|entry| (entry.url(), entry.vm_id.clone()))
            .collect(),
        data_centres: data_centres(fleet),
        cold_limits: cold_limits(fleet),
        storm_ms,
    })
}

fn runs(fleet: &Fleet) -> Vec<evidence::EntryRun> {
    let mut runs = Vec::new();
    for entry in &fleet.entries {
        for log in &entry.logs {
            runs.push(evidence::EntryRun {
                vm: entry.vm_id.clone(),
                in_force: entry_log::in_force(log),
            });
        }
    }
    runs
}

fn data_centres(fleet: &Fleet) -> collections::BTreeMap<String, String> {
    let engines = fleet.spec.engines.iter();
    let engines = engines.map(|engine| (engine.name.clone(), engine.data_centre.clone()));
    let services = fleet.spec.services.iter();
    let services = services.map(|service| (service.name.clone(), service.data_centre.clone()));
    engines.chain(services).collect()
}

fn cold_limits(fleet: &Fleet) -> collections::BTreeMap<String, u64> {
    let engines = fleet.spec.engines.iter();
    let engines = engines.map(|engine| (engine.name.clone(), engine.cold_limit.into()));
    let services = fleet.spec.services.iter();
    let limit = fleet::spec::SERVICE_COLD_LIMIT.into();
    let services = services.map(|service| (service.name.clone(), limit));
    engines.chain(services).collect()
}

fn keep_logs(fleet: &Fleet, folder: &path::Path) -> Result<(), FleetError> {
    fs::create_dir_all(folder).map_err(|e| FleetError::File(folder.to_owned(), e))?;
    for log in fleet.entries.iter().flat_map(|entry| &entry.logs) {
        let name = log.file_name().unwrap_or_default();
        fs::copy(log, folder.join(name)).map_err(|e| FleetError::File(log.clone(), e))?;
    }
    Ok(())
}

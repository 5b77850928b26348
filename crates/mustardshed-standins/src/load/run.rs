//! Runs a plan.

use std::{sync, sync::mpsc as std_mpsc, thread, time};

use displaydoc::Display;
use rand::distr::weighted;
use tokio::{sync::mpsc, task};

use crate::load::{arrivals, call, cpu, directory, measures, outcome, plan, report, sample};

/// Number of requests that are prepared ahead of their send time.
const PREPARED_AHEAD: usize = 32;
/// Maximum number of concurrent requests.
const MAX_OPEN: usize = 16_384;
/// Delay before the first send time, in which the first requests are prepared.
const PREPARATION: time::Duration = time::Duration::from_millis(300);

/// Error of a plan that can't be run.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RunError {
    /// neither an entry nor an engine is given
    NoReceiver,
    /// rate and time scale must be greater than zero
    NoRate,
    /// the client accounts have no weights: {0}
    NoAccounts(weighted::Error),
}

impl std::error::Error for RunError {}

/// Sends a plan's requests and returns the report once every request has ended.
///
/// # Errors
///
/// Returns an error if the plan is invalid; nothing was sent then.
pub async fn run(plan: plan::Plan) -> Result<report::Report, RunError> {
    if plan.entries.is_empty() && plan.direct.is_none() {
        return Err(RunError::NoReceiver);
    }
    if plan.rate <= 0.0 || plan.time_scale <= 0.0 {
        return Err(RunError::NoRate);
    }
    let arrivals = arrivals::Arrivals::of_plan(&plan).map_err(RunError::NoAccounts)?;
    let plan = sync::Arc::new(plan);
    let directory = sync::Arc::new(directory::Directory::of_plan(&plan));
    let mut background = task::JoinSet::new();
    if plan.discover {
        let directory = sync::Arc::clone(&directory);
        background.spawn(async move { directory.refresh().await });
    }
    let cpu_before = cpu::used_by(&plan.cpu_pids);
    let measures = offer(&plan, arrivals, directory).await;
    let cpu_used = cpu::used_by(&plan.cpu_pids).saturating_sub(cpu_before);
    Ok(report::Report::new(&plan, &measures, cpu_used))
}

/// Sends every request at its time and collects the measures.
async fn offer(
    plan: &sync::Arc<plan::Plan>,
    arrivals: arrivals::Arrivals,
    directory: sync::Arc<directory::Directory>,
) -> measures::Measures {
    let start = time::Instant::now() + PREPARATION;
    let mut due = pace(plan, arrivals, start);
    let caller = sync::Arc::new(call::Caller::open(sync::Arc::clone(plan), directory));
    let mut measures = measures::Measures::of_plan(plan);
    let mut open = task::JoinSet::new();
    loop {
        tokio::select! {
            prepared = due.recv() => {
                let Some(prepared) = prepared else { break };
                if open.len() >= MAX_OPEN {
                    measures.add(&not_sent(&prepared));
                    continue;
                }
                let at = start + plan.wall(prepared.arrival.at);
                let caller = sync::Arc::clone(&caller);
                open.spawn(async move { caller.call(prepared, at).await });
            }
            Some(Ok(sample)) = open.join_next() => measures.add(&sample),
        }
    }
    while let Some(ended) = open.join_next().await {
        if let Ok(sample) = ended {
            measures.add(&sample);
        }
    }
    measures
}

/// Prepares requests and releases each at its send time, on dedicated threads.
fn pace(
    plan: &sync::Arc<plan::Plan>,
    arrivals: arrivals::Arrivals,
    start: time::Instant,
) -> mpsc::Receiver<call::Prepared> {
    let (prepared_tx, prepared_rx) = std_mpsc::sync_channel(PREPARED_AHEAD);
    let (due_tx, due_rx) = mpsc::channel(PREPARED_AHEAD);
    let preparer = sync::Arc::clone(plan);
    thread::spawn(move || {
        for arrival in arrivals {
            let prepared = call::Prepared::of_arrival(&preparer, arrival);
            if prepared_tx.send(prepared).is_err() {
                return;
            }
        }
    });
    let pacer = sync::Arc::clone(plan);
    thread::spawn(move || {
        for prepared in prepared_rx {
            let at = start + pacer.wall(prepared.arrival.at + pacer.caller_delay);
            thread::sleep(at.saturating_duration_since(time::Instant::now()));
            if due_tx.blocking_send(prepared).is_err() {
                return;
            }
        }
    });
    due_rx
}

fn not_sent(prepared: &call::Prepared) -> sample::Sample {
    sample::Sample {
        arrival: prepared.arrival,
        via: sample::Via::Entry,
        outcome: outcome::Outcome::NotSent,
        refused_connections: 0,
        first_token: None,
        between_tokens: Vec::new(),
        total: time::Duration::ZERO,
    }
}

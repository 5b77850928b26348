//! Compares routing policies under load: a fleet per run, the same seeds for every policy.
//!
//! A run starts a fleet of a deployment's size, sends an open-loop load at a share of the fleet's
//! nominal capacity, and reports the callers' measures. Nominal capacity is the prefill speed of
//! all engines of the loaded kind divided by the mean prompt length, with nothing cached.

use std::time;

use displaydoc::Display;

use crate::{
    fleet::{self, FleetError},
    load::{self, arrivals, plan, report},
};

pub mod deployment;
pub mod plot;
pub mod scenario;
pub mod table;

/// Number of prompts over which the mean length is computed.
const MEAN_SAMPLE: usize = 20_000;

/// Error of a run.
#[derive(Debug, Display)]
pub enum ExperimentError {
    /// the fleet: {0}
    Fleet(FleetError),
    /// the load: {0}
    Load(String),
    /// a file: {0}
    File(std::io::Error),
    /// a plot: {0}
    Plot(String),
}

impl std::error::Error for ExperimentError {}

impl From<FleetError> for ExperimentError {
    fn from(e: FleetError) -> Self {
        Self::Fleet(e)
    }
}

/// One run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Deployment that is started.
    pub deployment: deployment::Deployment,
    /// Scenario of the load.
    pub scenario: scenario::Scenario,
    /// Routing policy, as named in the entries' settings.
    pub routing: &'static str,
    /// Seed of the load.
    pub seed: u64,
    /// Duration of the load, on the load's clock.
    pub duration: time::Duration,
    /// Seconds of the load's clock per second of the wall clock.
    pub time_scale: f64,
}

/// A run with its results.
#[derive(Clone, Debug)]
pub struct Done {
    /// The run.
    pub run: Run,
    /// Report of the callers' measures.
    pub report: report::Report,
    /// Number of times that engines fell over.
    pub fell_over: u64,
}

impl Run {
    /// Starts a fleet, runs the load, and stops the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet cannot be started or the load cannot be sent.
    pub async fn carry_out(self) -> Result<Done, ExperimentError> {
        let spec = self.deployment.spec(self.routing, self.time_scale);
        let fleet = fleet::Fleet::start(&spec).await?;
        let plan = self.plan(&fleet);
        let offered = load::run::run(plan);
        let (report, changed) = tokio::join!(offered, self.scenario.change(&fleet, &self));
        changed?;
        let report = report.map_err(|e| ExperimentError::Load(e.to_string()))?;
        let fell_over = fell_over(&fleet).await?;
        Ok(Done {
            run: self,
            report,
            fell_over,
        })
    }

    fn plan(&self, fleet: &fleet::Fleet) -> plan::Plan {
        let accounts = self.scenario.accounts();
        let plan = plan::Plan {
            entries: fleet.entries.iter().map(|entry| entry.url()).collect(),
            discover: true,
            model: self.deployment.model.to_owned(),
            accounts,
            duration: self.duration,
            seed: self.seed,
            time_scale: self.time_scale,
            short_only: self.scenario.is_short_only(),
            output_tokens: 64,
            deadline: self.scenario.deadline(),
            caller_delay: self.deployment.caller_delay,
            ..plan::Plan::default()
        };
        let rate = self.deployment.capacity(mean_tokens(&plan)) * self.scenario.load();
        plan::Plan { rate, ..plan }
    }
}

/// Returns the mean prompt length of a plan with long prompts, in tokens.
fn mean_tokens(plan: &plan::Plan) -> f64 {
    let whole = plan::Plan {
        short_only: false,
        rate: 1.0,
        duration: time::Duration::from_secs(MEAN_SAMPLE as u64),
        ..plan.clone()
    };
    let Ok(arrivals) = arrivals::Arrivals::of_plan(&whole) else {
        return 1.0;
    };
    let lengths: Vec<u64> = arrivals.map(|arrival| arrival.prompt_tokens).collect();
    lengths.iter().sum::<u64>() as f64 / lengths.len().max(1) as f64
}

async fn fell_over(fleet: &fleet::Fleet) -> Result<u64, FleetError> {
    let mut count = 0;
    for engine in &fleet.engines {
        let records = fleet.records(engine).await?;
        count += records["fell_over"].as_u64().unwrap_or_default();
    }
    Ok(count)
}

//! Report of a run as a table and as JSON.

use std::{collections, fmt, time};

use serde::Serialize;

use crate::load::{latencies, measures, plan};

/// Report of a run; all latencies are measured on the plan's clock.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Seconds of the plan's clock per second of the wall clock.
    pub time_scale: f64,
    /// Whether long prompts were left out.
    pub short_only: bool,
    /// Measures by receiver, `entry` or `direct`.
    pub via: collections::BTreeMap<&'static str, ViaReport>,
    /// Measures by client account.
    pub accounts: collections::BTreeMap<String, AccountReport>,
    /// Measures by second of the intended send time.
    pub timeline: Vec<SecondReport>,
    /// Number of failed connection attempts.
    pub refused_connections: u64,
    /// Long prompts sent.
    pub long_sent: u64,
    /// Long prompts that completed.
    pub long_completed: u64,
    /// CPU time of the measured processes in milliseconds of the wall clock.
    pub cpu_ms: f64,
}

/// Measures of the requests sent to one kind of receiver.
#[derive(Clone, Debug, Serialize)]
pub struct ViaReport {
    /// Requests by outcome.
    pub outcomes: collections::BTreeMap<String, u64>,
    /// Time to first token by class of prompt length.
    pub first_token: collections::BTreeMap<u64, latencies::Quantiles>,
    /// Time to first token of all prompts.
    pub first_token_all: latencies::Quantiles,
    /// Time between tokens.
    pub between_tokens: latencies::Quantiles,
    /// Time to a refusal that guarantees that nothing ran.
    pub refusals: latencies::Quantiles,
    /// Time to the end of completed responses.
    pub totals: latencies::Quantiles,
    /// Tokens received.
    pub tokens: u64,
}

/// Measures of one client account.
#[derive(Clone, Debug, Serialize)]
pub struct AccountReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests completed.
    pub completed: u64,
    /// Time to first token of prompts that are not long.
    pub short_first_token: latencies::Quantiles,
}

/// Measures of one second.
#[derive(Clone, Debug, Serialize)]
pub struct SecondReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests completed.
    pub completed: u64,
    /// Refusals that guarantee that nothing ran.
    pub refused: u64,
    /// Requests with any other outcome.
    pub failed: u64,
    /// 95th percentile of the time to first token of prompts that are not long.
    pub short_first_token_p95_ms: Option<f64>,
}

impl Report {
    pub(super) fn new(
        plan: &plan::Plan,
        measures: &measures::Measures,
        cpu_used: time::Duration,
    ) -> Self {
        let via = measures.via.iter();
        let names = plan.accounts.iter().map(|account| account.name.clone());
        let accounts = measures.accounts.iter().map(AccountReport::from);
        Self {
            seed: plan.seed,
            rate: plan.rate,
            seconds: plan.duration.as_secs_f64(),
            time_scale: plan.time_scale,
            short_only: plan.short_only,
            via: via.map(|(via, m)| (via.name(), m.into())).collect(),
            accounts: names.zip(accounts).collect(),
            timeline: measures.seconds.iter().map(SecondReport::from).collect(),
            refused_connections: measures.refused_connections,
            long_sent: measures.long_sent,
            long_completed: measures.long_completed,
            cpu_ms: cpu_used.as_secs_f64() * 1_000.0,
        }
    }
}

impl From<&measures::ViaMeasures> for ViaReport {
    fn from(measures: &measures::ViaMeasures) -> Self {
        let outcomes = measures.outcomes.iter();
        let first_token = measures.first_token.iter();
        Self {
            outcomes: outcomes.map(|(o, n)| (o.name(), *n)).collect(),
            first_token: first_token
                .map(|(bucket, l)| (bucket.max_tokens, l.quantiles()))
                .collect(),
            first_token_all: measures.first_token_all.quantiles(),
            between_tokens: measures.between_tokens.quantiles(),
            refusals: measures.refusals.quantiles(),
            totals: measures.totals.quantiles(),
            tokens: measures.tokens,
        }
    }
}

impl From<&measures::AccountMeasures> for AccountReport {
    fn from(measures: &measures::AccountMeasures) -> Self {
        Self {
            sent: measures.sent,
            completed: measures.completed,
            short_first_token: measures.short_first_token.quantiles(),
        }
    }
}

impl From<&measures::SecondMeasures> for SecondReport {
    fn from(measures: &measures::SecondMeasures) -> Self {
        let mut sorted = measures.short_first_token_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let rank = (sorted.len() * 95).div_ceil(100);
        Self {
            sent: measures.sent,
            completed: measures.completed,
            refused: measures.refused,
            failed: measures.failed,
            short_first_token_p95_ms: sorted.get(rank.saturating_sub(1)).copied(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, {} requests/s for {} s, time scale {}, long prompts {} of {} completed",
            self.seed,
            self.rate,
            self.seconds,
            self.time_scale,
            self.long_completed,
            self.long_sent
        )?;
        for (name, via) in &self.via {
            writeln!(f, "\n{name}")?;
            write!(f, "{via}")?;
        }
        write_heading(f, "client account")?;
        for (name, account) in &self.accounts {
            write_row(f, name, &account.short_first_token)?;
        }
        writeln!(
            f,
            "\nCPU time of the measured processes: {:.0} ms",
            self.cpu_ms
        )
    }
}

impl fmt::Display for ViaReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome:<42} {count:>8}")?;
        }
        write_heading(f, "time to first token")?;
        for (max_tokens, quantiles) in &self.first_token {
            write_row(f, &format!("up to {max_tokens} tokens"), quantiles)?;
        }
        write_row(f, "all", &self.first_token_all)?;
        write_heading(f, "others")?;
        write_row(f, "time between tokens", &self.between_tokens)?;
        write_row(f, "time to a refusal", &self.refusals)?;
        write_row(f, "time to the end", &self.totals)
    }
}

fn write_heading(f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
    writeln!(
        f,
        "{:<24} {:>8} {:>10} {:>10} {:>10} {:>10}",
        name, "count", "p50 ms", "p95 ms", "p99 ms", "max ms"
    )
}

fn write_row(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    quantiles: &latencies::Quantiles,
) -> fmt::Result {
    writeln!(f, "  {name:<22} {quantiles}")
}

//! Measures of a run.

use std::collections;

use crate::load::{bucket, latencies, outcome, plan, sample};

/// Measures of the requests sent to one kind of receiver.
#[derive(Debug, Default)]
pub(super) struct ViaMeasures {
    pub(super) outcomes: collections::BTreeMap<outcome::Outcome, u64>,
    pub(super) first_token: collections::BTreeMap<bucket::Bucket, latencies::Latencies>,
    pub(super) first_token_all: latencies::Latencies,
    pub(super) between_tokens: latencies::Latencies,
    pub(super) refusals: latencies::Latencies,
    pub(super) totals: latencies::Latencies,
    pub(super) tokens: u64,
}

/// Measures of one client account.
#[derive(Debug, Default)]
pub(super) struct AccountMeasures {
    pub(super) sent: u64,
    pub(super) completed: u64,
    pub(super) short_first_token: latencies::Latencies,
}

/// Measures of the requests of one second.
#[derive(Clone, Debug, Default)]
pub(super) struct SecondMeasures {
    pub(super) sent: u64,
    pub(super) completed: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    pub(super) short_first_token_ms: Vec<f64>,
}

/// Measures of a run.
#[derive(Debug)]
pub(super) struct Measures {
    pub(super) via: collections::BTreeMap<sample::Via, ViaMeasures>,
    pub(super) accounts: Vec<AccountMeasures>,
    pub(super) seconds: Vec<SecondMeasures>,
    pub(super) refused_connections: u64,
    pub(super) long_sent: u64,
    pub(super) long_completed: u64,
}

impl Measures {
    /// Returns empty measures for a plan.
    pub(super) fn of_plan(plan: &plan::Plan) -> Self {
        let seconds = plan.duration.as_secs() as usize + 1;
        Self {
            via: collections::BTreeMap::new(),
            accounts: plan
                .accounts
                .iter()
                .map(|_| AccountMeasures::default())
                .collect(),
            seconds: vec![SecondMeasures::default(); seconds],
            refused_connections: 0,
            long_sent: 0,
            long_completed: 0,
        }
    }

    /// Adds the sample of one request.
    pub(super) fn add(&mut self, sample: &sample::Sample) {
        self.refused_connections += u64::from(sample.refused_connections);
        self.add_long(sample);
        self.add_account(sample);
        self.add_second(sample);
        self.via.entry(sample.via).or_default().add(sample);
    }

    fn add_long(&mut self, sample: &sample::Sample) {
        if sample.arrival.is_long() {
            self.long_sent += 1;
            self.long_completed += u64::from(is_completed(sample));
        }
    }

    fn add_account(&mut self, sample: &sample::Sample) {
        let Some(account) = self.accounts.get_mut(sample.arrival.account) else {
            return;
        };
        account.sent += 1;
        account.completed += u64::from(is_completed(sample));
        if let Some(latency) = sample.first_token.filter(|_| !sample.arrival.is_long()) {
            account.short_first_token.add(latency);
        }
    }

    fn add_second(&mut self, sample: &sample::Sample) {
        let index = sample.arrival.at.as_secs() as usize;
        let Some(second) = self.seconds.get_mut(index) else {
            return;
        };
        second.sent += 1;
        let (completed, refused) = (is_completed(sample), sample.outcome.is_refusal());
        second.completed += u64::from(completed);
        second.refused += u64::from(refused);
        second.failed += u64::from(!completed && !refused);
        if let Some(latency) = sample.first_token.filter(|_| !sample.arrival.is_long()) {
            let ms = latency.as_secs_f64() * 1_000.0;
            second.short_first_token_ms.push(ms);
        }
    }
}

impl ViaMeasures {
    fn add(&mut self, sample: &sample::Sample) {
        *self.outcomes.entry(sample.outcome.clone()).or_default() += 1;
        if let Some(latency) = sample.first_token {
            let bucket = bucket::Bucket::of_tokens(sample.arrival.prompt_tokens);
            self.first_token.entry(bucket).or_default().add(latency);
            self.first_token_all.add(latency);
            self.tokens += 1 + sample.between_tokens.len() as u64;
        }
        for latency in &sample.between_tokens {
            self.between_tokens.add(*latency);
        }
        if sample.outcome.is_refusal() {
            self.refusals.add(sample.total);
        }
        if is_completed(sample) {
            self.totals.add(sample.total);
        }
    }
}

fn is_completed(sample: &sample::Sample) -> bool {
    sample.outcome == outcome::Outcome::Completed
}

//! Sequence of requests, generated from a seed.
//!
//! ```
//! use mustardshed_standins::load::{arrivals, plan};
//!
//! let mut plan = plan::Plan::default();
//! assert!(arrivals::Arrivals::of_plan(&plan).is_err());
//! plan.accounts.push(plan::Account {
//!     name: String::from("st-marks"),
//!     key: String::from("secret"),
//!     weight: 1,
//! });
//! let first: Vec<_> = arrivals::Arrivals::of_plan(&plan).unwrap().collect();
//! let again: Vec<_> = arrivals::Arrivals::of_plan(&plan).unwrap().collect();
//! assert_eq!(first, again);
//! ```

use std::time;

use rand::{Rng, RngExt, SeedableRng, distr::weighted};

use crate::load::{arrival, plan};

/// One in this many prompts is long.
const LONG_EVERY: u32 = 50;
/// Shortest prompt in tokens.
const MIN_TOKENS: f64 = 1_000.0;
/// Longest prompt in tokens.
const MAX_TOKENS: f64 = 1_000_000.0;
/// Share of the prompts that begin with a shared prefix.
const SHARED_PERCENT: u32 = 50;
/// Number of shared prefixes.
const PREFIXES: u64 = 64;
/// Length of the shortest shared prefix in tokens.
const PREFIX_TOKENS: u64 = 512;
/// Number of distinct lengths of shared prefixes.
const PREFIX_LENGTHS: u64 = 8;

/// Iterator over the requests of a plan.
#[derive(Debug)]
pub struct Arrivals {
    rng: rand_pcg::Pcg64Mcg,
    accounts: weighted::WeightedIndex<u32>,
    rate: f64,
    end: time::Duration,
    short_only: bool,
    prompt_tokens: Option<u64>,
    text_salt: u64,
    at: time::Duration,
    number: u64,
}

impl Arrivals {
    /// Returns the requests of a plan.
    ///
    /// # Errors
    ///
    /// Returns an error if no client account has a weight.
    pub fn of_plan(plan: &plan::Plan) -> Result<Self, weighted::Error> {
        Ok(Self {
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(plan.seed),
            accounts: weighted::WeightedIndex::new(plan.accounts.iter().map(|a| a.weight))?,
            rate: plan.rate,
            end: plan.duration,
            short_only: plan.short_only,
            prompt_tokens: plan.prompt_tokens,
            text_salt: plan.text_salt,
            at: time::Duration::ZERO,
            number: 0,
        })
    }

    fn draw(&mut self) -> arrival::Arrival {
        let gap = self.draw_gap();
        self.at += gap;
        self.number += 1;
        let drawn_tokens = self.draw_tokens();
        let prefix = self.draw_prefix();
        let prompt_tokens = self.prompt_tokens.unwrap_or(drawn_tokens);
        arrival::Arrival {
            number: self.number,
            at: self.at,
            account: self.rng.sample(&self.accounts),
            prompt_tokens,
            prefix: prefix.filter(|p| p.tokens < prompt_tokens),
            text_seed: self.rng.next_u64() ^ self.text_salt,
        }
    }

    /// Draws the time until the next arrival of a Poisson process.
    fn draw_gap(&mut self) -> time::Duration {
        let uniform: f64 = self.rng.random();
        time::Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate)
    }

    /// Draws a length, log-uniformly within the range of the short or of the long prompts.
    fn draw_tokens(&mut self) -> u64 {
        let border = arrival::LONG_TOKENS as f64;
        let (low, high) = if self.rng.random_ratio(1, LONG_EVERY) {
            (border + 1.0, MAX_TOKENS)
        } else {
            (MIN_TOKENS, border)
        };
        let uniform: f64 = self.rng.random();
        (low * (high / low).powf(uniform)) as u64
    }

    fn draw_prefix(&mut self) -> Option<arrival::SharedPrefix> {
        let number = self.rng.random_range(0..PREFIXES);
        let is_shared = self.rng.random_ratio(SHARED_PERCENT, 100);
        is_shared.then_some(arrival::SharedPrefix {
            text_seed: number ^ self.text_salt,
            tokens: PREFIX_TOKENS * (1 + number % PREFIX_LENGTHS),
        })
    }
}

impl Iterator for Arrivals {
    type Item = arrival::Arrival;

    fn next(&mut self) -> Option<arrival::Arrival> {
        loop {
            let arrival = self.draw();
            if arrival.at >= self.end {
                return None;
            }
            if !(self.short_only && arrival.is_long()) {
                return Some(arrival);
            }
        }
    }
}

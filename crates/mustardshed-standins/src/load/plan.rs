//! What load is to be offered, and to whom.

use std::time;

/// Client account under which requests are sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name in the report.
    pub name: String,
    /// Key.
    pub key: String,
    /// Share of the requests, relative to the other accounts' weights.
    pub weight: u32,
}

/// Load to be offered. All times and rates are on a clock that runs `time_scale` times as fast
/// as the wall clock.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Base URLs of the entries to begin with.
    pub entries: Vec<String>,
    /// Whether the entries are asked which of them to use.
    pub discover: bool,
    /// Base URL of an engine that is given every other request directly.
    pub direct: Option<String>,
    /// Model.
    pub model: String,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: time::Duration,
    /// Seed of arrivals, lengths and texts.
    pub seed: u64,
    /// Changes all texts and nothing else, so that a repeat finds nothing cached.
    pub text_salt: u64,
    /// Seconds of the plan's clock in a second of the wall clock.
    pub time_scale: f64,
    /// Whether the long prompts are left out; all others stay as they are.
    pub short_only: bool,
    /// Length of all prompts in tokens, in place of the distribution.
    pub prompt_tokens: Option<u64>,
    /// Length of all outputs in tokens.
    pub output_tokens: u64,
    /// Deadline of every request.
    pub deadline: time::Duration,
    /// One-way delay between callers and entries.
    pub caller_delay: time::Duration,
    /// Processes whose CPU time is measured.
    pub cpu_pids: Vec<u32>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            discover: false,
            direct: None,
            model: String::from("draft"),
            accounts: Vec::new(),
            rate: 10.0,
            duration: time::Duration::from_secs(10),
            seed: 1,
            text_salt: 0,
            time_scale: 1.0,
            short_only: false,
            prompt_tokens: None,
            output_tokens: 32,
            deadline: time::Duration::from_secs(600),
            caller_delay: time::Duration::ZERO,
            cpu_pids: Vec::new(),
        }
    }
}

impl Plan {
    /// Returns what the wall clock counts while the plan's clock counts `scaled`.
    pub fn wall(&self, scaled: time::Duration) -> time::Duration {
        scaled.div_f64(self.time_scale)
    }

    /// Returns what the plan's clock counts while the wall clock counts `wall`.
    pub fn scaled(&self, wall: time::Duration) -> time::Duration {
        wall.mul_f64(self.time_scale)
    }
}

//! Parameters of a load run.

use std::time;

/// Client account that sends requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name in the report.
    pub name: String,
    /// Key of the account.
    pub key: String,
    /// Share of the requests, relative to the other accounts' weights.
    pub weight: u32,
}

/// Parameters of a load run. All times and rates are on a clock that runs `time_scale` times as
/// fast as the wall clock.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Base URLs of the initial entries.
    pub entries: Vec<String>,
    /// Whether the list of entries is fetched from the entries.
    pub discover: bool,
    /// Base URL of an engine that gets every other request directly.
    pub direct: Option<String>,
    /// Model that is requested.
    pub model: String,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: time::Duration,
    /// Seed of arrivals, lengths and texts.
    pub seed: u64,
    /// Changes all texts and nothing else, so that a repeated run finds nothing cached.
    pub text_salt: u64,
    /// Seconds of the plan's clock per second of the wall clock.
    pub time_scale: f64,
    /// Whether long prompts are left out; the other requests stay the same.
    pub short_only: bool,
    /// Fixed length of all prompts in tokens, instead of the distribution.
    pub prompt_tokens: Option<u64>,
    /// Length of all outputs in tokens.
    pub output_tokens: u64,
    /// Timeout of every request.
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
    /// Converts a duration on the plan's clock to the wall clock.
    pub fn wall(&self, scaled: time::Duration) -> time::Duration {
        scaled.div_f64(self.time_scale)
    }

    /// Converts a duration on the wall clock to the plan's clock.
    pub fn scaled(&self, wall: time::Duration) -> time::Duration {
        wall.mul_f64(self.time_scale)
    }
}

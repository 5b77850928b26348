//! Settings of a plain service.

use std::time;

use crate::{delay, service::call_pattern};

/// Settings of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the service.
    pub name: String,
    /// Data centre of the service.
    pub data_centre: String,
    /// Calls that the records mark as non-repeatable.
    pub non_repeatable: Vec<call_pattern::CallPattern>,
    /// Duration of a call on a warm service; on a cold one it is four times as long.
    pub work: time::Duration,
    /// Largest number of calls at once; further ones are refused.
    pub max_running: usize,
    /// Calls at once beyond which the service crashes while it is cold.
    pub cold_limit: usize,
    /// Finished calls after which a cold service is warm.
    pub warm_after: u64,
    /// Whether the service starts cold.
    pub start_cold: bool,
    /// Delays to entries.
    pub delays: delay::Delays,
}

impl Settings {
    /// Returns settings for a warm service whose calls take 5 ms.
    pub fn new(name: impl Into<String>, data_centre: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            non_repeatable: Vec::new(),
            work: time::Duration::from_millis(5),
            max_running: 1_024,
            cold_limit: 2,
            warm_after: 10,
            start_cold: false,
            delays: delay::Delays::default(),
        }
    }

    /// Sets the calls that are non-repeatable.
    #[must_use]
    pub fn non_repeatable(mut self, patterns: Vec<call_pattern::CallPattern>) -> Self {
        self.non_repeatable = patterns;
        self
    }

    /// Sets the duration of a call on a warm service.
    #[must_use]
    pub const fn work(mut self, work: time::Duration) -> Self {
        self.work = work;
        self
    }

    /// Sets the largest number of calls at once.
    #[must_use]
    pub const fn max_running(mut self, calls: usize) -> Self {
        self.max_running = calls;
        self
    }

    /// Sets the number of calls at once beyond which a cold service crashes.
    #[must_use]
    pub const fn cold_limit(mut self, calls: usize) -> Self {
        self.cold_limit = calls;
        self
    }

    /// Sets the number of finished calls after which a cold service is warm.
    #[must_use]
    pub const fn warm_after(mut self, calls: u64) -> Self {
        self.warm_after = calls;
        self
    }

    /// Sets the delays to entries.
    #[must_use]
    pub fn delays(mut self, delays: delay::Delays) -> Self {
        self.delays = delays;
        self
    }

    /// Sets whether the service starts cold.
    #[must_use]
    pub const fn start_cold(mut self, cold: bool) -> Self {
        self.start_cold = cold;
        self
    }
}

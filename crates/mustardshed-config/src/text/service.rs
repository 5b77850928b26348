//! Services.

use std::time;

use super::Backing;
use crate::{
    problem,
    reader::{read, section},
};

/// Default of `default_deadline_ms`.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Default of `max_deadline_ms`.
const DEFAULT_MAX_DEADLINE_MS: u64 = 600_000;
/// Greatest value of `default_deadline_ms` and of `max_deadline_ms`: a day.
const DEADLINE_LIMIT_MS: u64 = 86_400_000;
/// Default of `retry_percent`.
const DEFAULT_RETRY_PERCENT: u32 = 10;
/// Greatest value of `retry_percent`.
const MAX_RETRY_PERCENT: u32 = 100;

/// A service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// What serves its requests.
    pub backing: Backing,
    /// Services that must be available for this one to be available.
    pub depends_on: Vec<String>,
    /// Deadline of a request that sets none.
    pub default_deadline: time::Duration,
    /// Longest deadline that a request may set.
    pub max_deadline: time::Duration,
    /// Most retries per 100 first attempts.
    pub retry_percent: u32,
}

impl Service {
    /// Reads one table `[[service]]`; invalid values are reported and replaced by defaults.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::name);
        let backing = Backing::read(section);
        let depends_on = section.optional("depends_on", Vec::new(), read::list(read::name));
        let default_deadline = section.optional(
            "default_deadline_ms",
            time::Duration::from_millis(DEFAULT_DEADLINE_MS),
            read::millis_within(1, DEADLINE_LIMIT_MS),
        );
        let max_deadline = section.optional(
            "max_deadline_ms",
            time::Duration::from_millis(DEFAULT_MAX_DEADLINE_MS),
            read::millis_within(1, DEADLINE_LIMIT_MS),
        );
        let retry_percent = section.optional(
            "retry_percent",
            DEFAULT_RETRY_PERCENT,
            read::u32_within(0, MAX_RETRY_PERCENT),
        );
        check_deadlines(section, default_deadline, max_deadline);
        Self {
            name: name.unwrap_or_default(),
            backing,
            depends_on: depends_on.unwrap_or_default(),
            default_deadline: default_deadline.unwrap_or_default(),
            max_deadline: max_deadline.unwrap_or_default(),
            retry_percent: retry_percent.unwrap_or_default(),
        }
    }
}

/// Reports a default deadline above the longest one: at its key if set, else at `max_deadline_ms`.
fn check_deadlines(
    section: &section::Section<'_, '_>,
    default: Option<time::Duration>,
    max: Option<time::Duration>,
) {
    let (Some(default), Some(max)) = (default, max) else {
        return;
    };
    if default <= max {
        return;
    }
    if section.has("default_deadline_ms") {
        let limit = millis(max);
        let key = "max_deadline_ms";
        section.add("default_deadline_ms", problem::Reason::Above { key, limit });
    } else {
        let limit = millis(default);
        let key = "default_deadline_ms";
        section.add("max_deadline_ms", problem::Reason::Below { key, limit });
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

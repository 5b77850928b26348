//! Services.

use std::time;

use super::Backing;
use crate::{
    problem,
    reader::{read, section},
};

/// Deadline of a request that names none, unless the text says otherwise, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Longest deadline that a request may name, unless the text says otherwise, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Longest deadline that the text may allow, in milliseconds: a day.
const GREATEST_DEADLINE_MS: u64 = 86_400_000;
/// Retries for each 100 first sends unless the text says otherwise.
const RETRY_PERCENT: u32 = 10;
/// Greatest number of retries for each 100 first sends.
const MAX_RETRY_PERCENT: u32 = 100;

/// A service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// What stands behind it.
    pub backing: Backing,
    /// Services that must serve for this one to serve.
    pub depends_on: Vec<String>,
    /// Deadline of a request that names none.
    pub default_deadline: time::Duration,
    /// Longest deadline that a request may name.
    pub max_deadline: time::Duration,
    /// Retries for each 100 first sends, at most.
    pub retry_percent: u32,
}

impl Service {
    /// Reads one table `[[service]]`; a value that is reported as a problem stands as its default.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::name);
        let backing = Backing::read(section);
        let depends_on = section.optional("depends_on", Vec::new(), read::list(read::name));
        let default_deadline = section.optional(
            "default_deadline_ms",
            time::Duration::from_millis(DEFAULT_DEADLINE_MS),
            read::millis_within(1, GREATEST_DEADLINE_MS),
        );
        let max_deadline = section.optional(
            "max_deadline_ms",
            time::Duration::from_millis(MAX_DEADLINE_MS),
            read::millis_within(1, GREATEST_DEADLINE_MS),
        );
        let retry_percent = section.optional(
            "retry_percent",
            RETRY_PERCENT,
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

/// Reports a default deadline that exceeds the longest one, at whichever of the two is written.
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

//! Reads from an entry's log which configurations came into force.

use std::{fs, path};

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;

/// A generation that came into force; the time is in milliseconds of the Unix day.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InForce {
    /// Milliseconds since midnight, in UTC.
    pub day_ms: u64,
    /// Generation.
    pub generation: u64,
}

/// Reads the generations that came into force in one run of an entry, in log order.
pub fn in_force(log: &path::Path) -> Vec<InForce> {
    let text = fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    text.lines().filter_map(parse).collect()
}

/// Returns the time from `earlier` to `later`, both in milliseconds of a day, across midnight.
pub const fn since(earlier_ms: u64, later_day_ms: u64) -> i64 {
    let difference = (later_day_ms + DAY_MS - earlier_ms % DAY_MS) % DAY_MS;
    if difference > DAY_MS / 2 {
        difference as i64 - DAY_MS as i64
    } else {
        difference as i64
    }
}

fn parse(line: &str) -> Option<InForce> {
    let (head, fields) = line.split_once("E2001 ")?;
    let generation = fields.split_once("generation=")?.1;
    let digits: String = generation
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    Some(InForce {
        day_ms: day_ms(head)?,
        generation: digits.parse().ok()?,
    })
}

/// Parses `[YYYY-MM-DD HH:MM:SS.mmm]`.
fn day_ms(head: &str) -> Option<u64> {
    let stamp = head.split_once('[')?.1.split_once(']')?.0;
    let clock = stamp.split_once(' ')?.1;
    let mut parts = clock.split([':', '.']);
    let mut next = || parts.next()?.parse::<u64>().ok();
    let (hours, minutes, seconds, millis) = (next()?, next()?, next()?, next()?);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}

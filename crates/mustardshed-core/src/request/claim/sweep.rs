//! Deletion of expired claims.
//!
//! Each live entry sweeps the claims of its share of the client accounts. [`Sweep`] is the state
//! machine for that: it returns a [`Step`], the process carries it out and passes the result back,
//! until the step is [`Step::Done`].
//!
//! - A claim is deleted only at the listed version, so that a key which was claimed again in the
//!   meantime stays claimed.
//! - A list call may fail because the list is too long: it is split by the next digit of the names.
//! - After `MAX_FAILURES` failures in a row the sweep is aborted; the next one starts afresh.

use std::{collections, time};

use crate::{boundary::platform, ids, process::topology};

use super::{Value, expired};

/// Interval between platform calls of sweeps, over all entries together.
const FLEET_CALL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time for which a claim is kept beyond [`super::RETENTION`], to allow for clock skew.
const GRACE: time::Duration = time::Duration::from_secs(60 * 60);
/// Failed calls in a row after which a sweep is aborted.
const MAX_FAILURES: u32 = 3;
/// Maximum number of digits by which a list is split.
const MAX_SPLIT_DIGITS: usize = 3;
/// Digits that may follow the client account in a name.
const DIGITS: &str = "0123456789abcdef";

/// The next step of a sweep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// List the claims whose names start with `prefix`.
    List {
        /// Prefix.
        prefix: String,
    },
    /// Delete the claim if its version is `expected`.
    Delete {
        /// Name.
        name: String,
        /// Expected version.
        expected: ids::ObjectVersion,
    },
    /// The sweep has ended.
    Done(SweepStats),
}

/// Counts of what a sweep did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SweepStats {
    /// Claims listed.
    pub listed: u64,
    /// Claims deleted.
    pub deleted: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Whether the sweep ended early.
    pub is_aborted: bool,
}

/// A sweep in progress.
#[derive(Clone, Debug)]
pub struct Sweep {
    lists: Vec<List>,
    expired: Vec<(String, ids::ObjectVersion)>,
    failures: u32,
    stats: SweepStats,
}

/// A list call that is still to be made.
#[derive(Clone, Debug)]
struct List {
    prefix: String,
    /// Number of digits at the end of the prefix, one for each time that the list was split.
    digits: usize,
}

impl Sweep {
    /// Starts a sweep of the claims of these client accounts.
    pub fn begin<'a>(accounts: impl IntoIterator<Item = &'a ids::ClientAccountId>) -> (Self, Step) {
        let list = |account: &ids::ClientAccountId| List {
            prefix: format!("{account}."),
            digits: 0,
        };
        let mut sweep = Self {
            lists: accounts.into_iter().map(list).collect(),
            expired: Vec::new(),
            failures: 0,
            stats: SweepStats::default(),
        };
        let step = sweep.next();
        (sweep, step)
    }

    /// Handles the result of a [`Step::List`] at `wall_now` since the Unix epoch.
    pub fn on_list(
        &mut self,
        result: Result<Vec<(String, ids::ObjectVersion, Value)>, platform::PlatformError>,
        wall_now: time::Duration,
    ) -> Step {
        let Some(list) = self.lists.pop() else {
            return Step::Done(self.stats);
        };
        match result {
            Ok(claims) => self.keep_expired(&claims, wall_now),
            Err(_) => self.fail_list(&list),
        }
        self.next()
    }

    /// Handles the result of a [`Step::Delete`].
    pub fn on_delete(&mut self, result: Result<(), platform::PlatformError>) -> Step {
        self.expired.pop();
        match result {
            Ok(()) => {
                self.failures = 0;
                self.stats.deleted += 1;
            }
            // The key was claimed again, or another sweep has deleted the claim.
            Err(platform::PlatformError::Conflict(_)) => self.failures = 0,
            Err(_) => self.count_failure(),
        }
        self.next()
    }

    fn next(&mut self) -> Step {
        if self.failures >= MAX_FAILURES {
            self.stats.is_aborted = true;
            return Step::Done(self.stats);
        }
        if let Some((name, expected)) = self.expired.last() {
            return Step::Delete {
                name: name.clone(),
                expected: *expected,
            };
        }
        match self.lists.last() {
            Some(list) => Step::List {
                prefix: list.prefix.clone(),
            },
            None => Step::Done(self.stats),
        }
    }

    /// Keeps the listed claims that have expired, to be deleted next.
    fn keep_expired(
        &mut self,
        claims: &[(String, ids::ObjectVersion, Value)],
        wall_now: time::Duration,
    ) {
        self.failures = 0;
        self.stats.listed += claims.len() as u64;
        let claims = claims
            .iter()
            .map(|(name, version, value)| (name.as_str(), *version, value));
        self.expired = expired(claims, wall_now.saturating_sub(GRACE));
    }

    /// Counts a list call that failed, and splits the list unless it was split too often.
    fn fail_list(&mut self, list: &List) {
        self.count_failure();
        if list.digits >= MAX_SPLIT_DIGITS {
            return;
        }
        let parts = DIGITS.chars().map(|digit| List {
            prefix: format!("{}{digit}", list.prefix),
            digits: list.digits + 1,
        });
        self.lists.extend(parts);
    }

    /// Counts a call that failed.
    const fn count_failure(&mut self) {
        self.failures += 1;
        self.stats.failed += 1;
    }
}

/// Returns the client accounts whose claims the entry `own` sweeps, by rendezvous hashing.
pub fn assigned_accounts<'a>(
    own: &ids::VmId,
    live: &collections::BTreeSet<&ids::VmId>,
    accounts: impl IntoIterator<Item = &'a ids::ClientAccountId>,
) -> Vec<&'a ids::ClientAccountId> {
    let is_assigned = |account: &&ids::ClientAccountId| {
        let assigned_to = live
            .iter()
            .min_by_key(|vm| (topology::weight(account, vm), **vm));
        assigned_to.is_some_and(|vm| **vm == *own)
    };
    accounts.into_iter().filter(is_assigned).collect()
}

/// Returns the pause after each call of a sweep, for this number of live entries.
pub fn pause(live: usize) -> time::Duration {
    let live = u32::try_from(live.max(1)).unwrap_or(u32::MAX);
    FLEET_CALL_INTERVAL.saturating_mul(live)
}

//! Deletion of claims that are out of date.
//!
//! Each live entry sweeps the claims of its share of the client accounts. [`Sweep`] is the state
//! machine for that: it returns a [`Step`], the process carries it out and hands the result back,
//! until the step is [`Step::Done`].
//!
//! - A claim is deleted only at the version that was listed, so that a key which was claimed anew
//!   meanwhile stays claimed.
//! - A list that is not answered may be too long: it is split by the next digit of the names.
//! - After [`MAX_FAILURES`] failures in a row the sweep ends; the next one begins anew.

use std::{collections, time};

use crate::{boundary::platform, ids, process::topology};

use super::{Value, expired};

/// Time between two calls of sweeps on the platform, over all entries together.
const FLEET_CALL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time that a claim is kept beyond [`super::RETENTION`], for clocks that disagree.
const GRACE: time::Duration = time::Duration::from_secs(60 * 60);
/// Failed calls in a row after which a sweep ends.
const MAX_FAILURES: u32 = 3;
/// Greatest number of a name's digits by which a list is split.
const MAX_SPLIT_DIGITS: usize = 3;
/// Digits that a name may hold after the client account.
const DIGITS: &str = "0123456789abcdef";

/// What is to be done next for a sweep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// List the claims whose names start with `prefix`.
    List {
        /// Prefix.
        prefix: String,
    },
    /// Delete the claim if it is at `expected`.
    Delete {
        /// Name.
        name: String,
        /// Version that it must have.
        expected: ids::ObjectVersion,
    },
    /// Nothing; this is what it did.
    Done(SweepStats),
}

/// What a sweep did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SweepStats {
    /// Claims that were listed.
    pub listed: u64,
    /// Claims that were deleted.
    pub deleted: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Whether it ended early.
    pub is_aborted: bool,
}

/// A sweep under way.
#[derive(Clone, Debug)]
pub struct Sweep {
    lists: Vec<List>,
    expired: Vec<(String, ids::ObjectVersion)>,
    failures: u32,
    swept: SweepStats,
}

/// A list that is still to be asked for.
#[derive(Clone, Debug)]
struct List {
    prefix: String,
    /// Digits at the end of the prefix, one for each time that the list was split.
    digits: usize,
}

impl Sweep {
    /// Begins a sweep of the claims of these client accounts.
    pub fn begin<'a>(accounts: impl IntoIterator<Item = &'a ids::ClientAccountId>) -> (Self, Step) {
        let list = |account: &ids::ClientAccountId| List {
            prefix: format!("{account}."),
            digits: 0,
        };
        let mut sweep = Self {
            lists: accounts.into_iter().map(list).collect(),
            expired: Vec::new(),
            failures: 0,
            swept: SweepStats::default(),
        };
        let step = sweep.next();
        (sweep, step)
    }

    /// Takes the end of a [`Step::List`] at `wall_now` since the Unix epoch.
    pub fn on_list(
        &mut self,
        result: Result<Vec<(String, ids::ObjectVersion, Value)>, platform::PlatformError>,
        wall_now: time::Duration,
    ) -> Step {
        let Some(list) = self.lists.pop() else {
            return Step::Done(self.swept);
        };
        match result {
            Ok(claims) => self.keep_expired(&claims, wall_now),
            Err(_) => self.fail_list(&list),
        }
        self.next()
    }

    /// Takes the end of a [`Step::Delete`].
    pub fn on_delete(&mut self, result: Result<(), platform::PlatformError>) -> Step {
        self.expired.pop();
        match result {
            Ok(()) => {
                self.failures = 0;
                self.swept.deleted += 1;
            }
            // The key was claimed anew, or another sweep was faster.
            Err(platform::PlatformError::Conflict(_)) => self.failures = 0,
            Err(_) => self.fail(),
        }
        self.next()
    }

    fn next(&mut self) -> Step {
        if self.failures >= MAX_FAILURES {
            self.swept.is_aborted = true;
            return Step::Done(self.swept);
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
            None => Step::Done(self.swept),
        }
    }

    /// Keeps the listed claims that are out of date, to be deleted next.
    fn keep_expired(
        &mut self,
        claims: &[(String, ids::ObjectVersion, Value)],
        wall_now: time::Duration,
    ) {
        self.failures = 0;
        self.swept.listed += claims.len() as u64;
        let claims = claims
            .iter()
            .map(|(name, version, value)| (name.as_str(), *version, value));
        self.expired = expired(claims, wall_now.saturating_sub(GRACE));
    }

    /// Counts a list that failed, and splits it unless it was split too often.
    fn fail_list(&mut self, list: &List) {
        self.fail();
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
    const fn fail(&mut self) {
        self.failures += 1;
        self.swept.failed += 1;
    }
}

/// Returns the client accounts whose claims `own` sweeps among these live entries.
pub fn assigned_accounts<'a>(
    own: &ids::VmId,
    live: &collections::BTreeSet<&ids::VmId>,
    accounts: impl IntoIterator<Item = &'a ids::ClientAccountId>,
) -> Vec<&'a ids::ClientAccountId> {
    let is_own = |account: &&ids::ClientAccountId| {
        let chosen = live
            .iter()
            .min_by_key(|vm| (topology::weight(account, vm), **vm));
        chosen.is_some_and(|vm| **vm == *own)
    };
    accounts.into_iter().filter(is_own).collect()
}

/// Returns the pause after each call of a sweep among this many live entries.
pub fn pause(live: usize) -> time::Duration {
    let live = u32::try_from(live.max(1)).unwrap_or(u32::MAX);
    FLEET_CALL_INTERVAL.saturating_mul(live)
}

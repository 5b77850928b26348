//! Outstanding credits of one backend server, with what its reports say it holds.
//!
//! What a server bears is counted from both sides: credits that were granted, and work that its
//! report shows and no credit stands for. So work of an entry that died, or that a steward before
//! this one let in, takes up its place until it is gone.

use std::{collections, time};

use crate::{boundary::backend_server, ids, mutation};

/// Time within which a credit must be used.
pub const USE_WITHIN: time::Duration = time::Duration::from_secs(2);
/// Time allowed for what was sent in time to show in figures measured later.
pub const REPORT_LAG: time::Duration = time::Duration::from_millis(500);

/// An outstanding credit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// KV memory in tokens.
    pub tokens: ids::Tokens,
    /// Time of the grant.
    pub granted_at: ids::Timestamp,
    /// Requests that were under credit then.
    pub running: u32,
    /// Whether it is one of a gang.
    pub gang: bool,
}

/// Work that its entry gave up and that the server may still hold.
#[derive(Clone, Copy, Debug)]
struct Lingering {
    tokens: ids::Tokens,
    since: ids::Timestamp,
}

/// Outstanding credits of one backend server.
#[derive(Debug, Default)]
pub struct Credits {
    granted: collections::BTreeMap<ids::RequestId, Grant>,
    released: collections::BTreeMap<ids::RequestId, ids::Timestamp>,
    lingering: collections::BTreeMap<ids::RequestId, Lingering>,
    held: Vec<backend_server::HeldRequest>,
    measured_at: ids::Timestamp,
    reported_running: u32,
}

impl Credits {
    /// Returns the KV memory that is taken, in tokens.
    pub fn used_tokens(&self) -> ids::Tokens {
        let granted = self.granted.values().map(|credit| credit.tokens);
        let doubtful = self.lingering.values().map(|work| work.tokens);
        let unknown = self.untracked().map(|held| held.tokens);
        granted.chain(doubtful).chain(unknown).sum()
    }

    /// Returns the number of requests that are being worked on or may be.
    pub fn running(&self) -> u32 {
        let known = self.granted.len() + self.lingering.len() + self.untracked().count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        if self.held.is_empty() {
            // Plain services count their calls without naming them.
            known.max(self.reported_running)
        } else {
            known
        }
    }

    /// Returns the number of credits.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Returns whether no credit is outstanding.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }

    /// Returns the KV memory under credits, in tokens.
    pub fn granted_tokens(&self) -> ids::Tokens {
        self.granted.values().map(|credit| credit.tokens).sum()
    }

    /// Returns the credits.
    pub fn iter(&self) -> impl Iterator<Item = (&ids::RequestId, &Grant)> {
        self.granted.iter()
    }

    /// Notes a credit.
    pub fn grant(&mut self, request: ids::RequestId, credit: Grant) {
        self.released.remove(&request);
        self.lingering.remove(&request);
        self.granted.insert(request, credit);
    }

    /// Notes a credit that its holder states, unless it is known or was given back.
    pub fn adopt(&mut self, request: &ids::RequestId, tokens: ids::Tokens, now: ids::Timestamp) {
        if self.is_known(request) {
            return;
        }
        let credit = Grant {
            tokens,
            granted_at: now,
            running: u32::MAX,
            gang: false,
        };
        self.granted.insert(request.clone(), credit);
    }

    /// Gives a credit back.
    ///
    /// If `may_be_held`, its place stays taken until figures measured later do not show the work.
    pub fn release(
        &mut self,
        request: &str,
        may_be_held: bool,
        now: ids::Timestamp,
    ) -> Option<Grant> {
        let credit = self.granted.remove(request)?;
        if may_be_held && !mutation::on("broken_counts_as_ended") {
            let doubtful = Lingering {
                tokens: credit.tokens,
                since: now,
            };
            self.lingering.insert(request.to_owned(), doubtful);
        } else {
            self.released.insert(request.to_owned(), now);
        }
        Some(credit)
    }

    /// Drops the credits for which `is_over` holds.
    pub fn remove_if(&mut self, is_over: impl Fn(&str, &Grant) -> bool) {
        self.granted
            .retain(|request, credit| !is_over(request, credit));
    }

    /// Takes a report whose figures were measured at `measured_at`.
    pub fn on_report(&mut self, measured_at: ids::Timestamp, report: &backend_server::LoadReport) {
        if measured_at < self.measured_at {
            return;
        }
        self.measured_at = measured_at;
        self.held.clone_from(&report.held);
        self.reported_running = report.running;
        self.released
            .retain(|_, at| *at + REPORT_LAG >= measured_at);
        self.lingering
            .retain(|_, work| work.since + REPORT_LAG >= measured_at);
        self.drop_unused(report);
    }

    /// Returns the time at which the figures of the latest report were measured.
    pub const fn measured_at(&self) -> ids::Timestamp {
        self.measured_at
    }

    /// Returns work that the server holds and that no credit stands for.
    pub fn untracked(&self) -> impl Iterator<Item = &backend_server::HeldRequest> {
        self.held.iter().filter(|held| !self.is_known(&held.id))
    }

    fn is_known(&self, request: &str) -> bool {
        self.granted.contains_key(request)
            || self.released.contains_key(request)
            || self.lingering.contains_key(request)
    }

    /// Drops credits that ought to show in the report and do not.
    fn drop_unused(&mut self, report: &backend_server::LoadReport) {
        if mutation::on("lost_release_kept") {
            return;
        }
        let names: collections::BTreeSet<&str> =
            report.held.iter().map(|held| held.id.as_str()).collect();
        let mut kept = report.running;
        let measured_at = self.measured_at;
        let names_requests = report.memory_tokens > 0 || !report.held.is_empty();
        self.granted.retain(|request, credit| {
            let ought_to_show = measured_at >= credit.granted_at + USE_WITHIN + REPORT_LAG;
            if !ought_to_show || names.contains(request.as_str()) {
                return true;
            }
            // A server that does not name its requests keeps as many credits as it has running.
            let is_counted = !names_requests && kept > 0;
            kept = kept.saturating_sub(1);
            is_counted
        });
    }
}

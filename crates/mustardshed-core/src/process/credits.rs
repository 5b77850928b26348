//! Outstanding credits of one backend server, and the work that its load reports show.
//!
//! Used capacity is the sum of outstanding credits, of released work that the server may still
//! hold, and of untracked work: work that a report shows and no credit covers. So work of a dead
//! entry, or work that an earlier steward admitted, counts until the server no longer reports it.

use std::{collections, time};

use crate::{boundary::backend_server, ids, mutation};

/// Time after the grant within which a credit must be used.
pub const USE_WITHIN: time::Duration = time::Duration::from_secs(2);
/// Maximum delay until work that was sent shows in load reports.
pub const REPORT_LAG: time::Duration = time::Duration::from_millis(500);

/// An outstanding credit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// KV memory in tokens.
    pub tokens: ids::Tokens,
    /// Time at which it was granted.
    pub granted_at: ids::Timestamp,
    /// Number of requests that ran or might run at that time; `u32::MAX` if unknown.
    pub running: u32,
    /// Whether it belongs to a gang.
    pub gang: bool,
}

/// Released work that the server may still hold.
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
    /// Returns the KV memory in use, in tokens.
    pub fn used_tokens(&self) -> ids::Tokens {
        let granted = self.granted.values().map(|credit| credit.tokens);
        let lingering = self.lingering.values().map(|work| work.tokens);
        let untracked = self.untracked().map(|held| held.tokens);
        granted.chain(lingering).chain(untracked).sum()
    }

    /// Returns the number of requests that run or may run.
    pub fn running(&self) -> u32 {
        let known = self.granted.len() + self.lingering.len() + self.untracked().count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        if self.held.is_empty() {
            // Plain services report the number of their calls, but not the identifiers.
            known.max(self.reported_running)
        } else {
            known
        }
    }

    /// Returns the number of outstanding credits.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Returns whether no credit is outstanding.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }

    /// Returns the KV memory covered by credits, in tokens.
    pub fn granted_tokens(&self) -> ids::Tokens {
        self.granted.values().map(|credit| credit.tokens).sum()
    }

    /// Returns the outstanding credits, by request.
    pub fn iter(&self) -> impl Iterator<Item = (&ids::RequestId, &Grant)> {
        self.granted.iter()
    }

    /// Adds a credit.
    pub fn grant(&mut self, request: ids::RequestId, credit: Grant) {
        self.released.remove(&request);
        self.lingering.remove(&request);
        self.granted.insert(request, credit);
    }

    /// Adds a credit that its holder reports, unless it is known or was released.
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

    /// Releases a credit.
    ///
    /// If `may_be_held`, its capacity counts as used until later load figures do not show the work.
    pub fn release(
        &mut self,
        request: &str,
        may_be_held: bool,
        now: ids::Timestamp,
    ) -> Option<Grant> {
        let credit = self.granted.remove(request)?;
        if may_be_held && !mutation::on("broken_counts_as_ended") {
            let lingering = Lingering {
                tokens: credit.tokens,
                since: now,
            };
            self.lingering.insert(request.to_owned(), lingering);
        } else {
            self.released.insert(request.to_owned(), now);
        }
        Some(credit)
    }

    /// Removes the credits for which `is_over` returns true.
    pub fn remove_if(&mut self, is_over: impl Fn(&str, &Grant) -> bool) {
        self.granted
            .retain(|request, credit| !is_over(request, credit));
    }

    /// Applies a load report measured at `measured_at`; one older than the latest is ignored.
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

    /// Returns the time at which the latest load report was measured.
    pub const fn measured_at(&self) -> ids::Timestamp {
        self.measured_at
    }

    /// Returns the work on the server that no credit covers, outstanding or recently released.
    pub fn untracked(&self) -> impl Iterator<Item = &backend_server::HeldRequest> {
        self.held.iter().filter(|held| !self.is_known(&held.id))
    }

    fn is_known(&self, request: &str) -> bool {
        self.granted.contains_key(request)
            || self.released.contains_key(request)
            || self.lingering.contains_key(request)
    }

    /// Removes credits that are old enough to show in the report and do not.
    fn drop_unused(&mut self, report: &backend_server::LoadReport) {
        if mutation::on("lost_release_kept") {
            return;
        }
        let reported_ids: collections::BTreeSet<&str> =
            report.held.iter().map(|held| held.id.as_str()).collect();
        let mut remaining = report.running;
        let measured_at = self.measured_at;
        let reports_ids = report.memory_tokens > 0 || !report.held.is_empty();
        self.granted.retain(|request, credit| {
            let must_show = measured_at >= credit.granted_at + USE_WITHIN + REPORT_LAG;
            if !must_show || reported_ids.contains(request.as_str()) {
                return true;
            }
            // If the server reports no identifiers, keep as many credits as it runs requests.
            let is_counted = !reports_ids && remaining > 0;
            remaining = remaining.saturating_sub(1);
            is_counted
        });
    }
}

//! Hands out the credits of one backend server.
//!
//! One entry at a time is steward of a backend server, by rendezvous hashing over the members that
//! are alive and do not leave. Entries may differ in that view for a while, so a new steward first
//! collects: every live member states its credits, and what it granted itself lately, and only
//! does so once it takes the asker for the steward. An earlier steward that states its credits
//! has stopped granting.
//!
//! On a cold server, which falls over under too much work, the steward is stricter: it grants only
//! while it reaches a majority, after everybody that is alive and a majority of all have answered,
//! and after a report that was measured since it took over. On a warm server the engine's own refusal is the last limit, and a
//! member that does not answer for [`COLLECT_TIMEOUT`] is not waited for.

use std::{collections, time};

use xxhash_rust::xxh3;

use crate::{
    boundary::{backend_server, control, platform},
    error, ids, mutation,
    process::{action, credits, message, queue, ramp, reaper},
    request::owner,
};

mod context;
mod decision;
mod load;
mod serve;
mod speed;
mod wait_estimate;

pub use context::Context;
pub use decision::{Decision, Effects};

/// Time between two reads of a server's load.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time for which a steward of a warm server waits for members to state their credits.
pub const COLLECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time between two questions for held credits to the same members.
const COLLECT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Age of a credit after which a holder that does not state it does not hold it.
const MIN_RECONCILE_AGE: time::Duration = time::Duration::from_secs(3);
/// Time between two comparisons of credits with their holders.
const RECONCILE_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Times the estimate beyond which a first token is a sign of cold.
const SLOW_FACTOR: f64 = 4.0;
/// Time beyond the estimate within which a first token is never a sign of cold.
const SLOW_ALLOWANCE: time::Duration = time::Duration::from_secs(1);

/// Returns the steward of a backend server among the candidates, the same on every entry.
pub fn choose<'a>(
    server: &str,
    candidates: impl Iterator<Item = &'a ids::VmId>,
) -> Option<&'a ids::VmId> {
    let seed = xxh3::xxh3_64(server.as_bytes());
    candidates.max_by_key(|vm| (xxh3::xxh3_64_with_seed(vm.as_bytes(), seed), *vm))
}

/// The steward of one backend server.
#[derive(Debug)]
pub struct Steward {
    vm: platform::Vm,
    since: ids::Timestamp,
    reported_holders: collections::BTreeSet<ids::VmId>,
    collect_sent_at: Option<ids::Timestamp>,
    reconciled_at: ids::Timestamp,
    credits: credits::Credits,
    queue: queue::Queue,
    ramp: ramp::Ramp,
    reaper: reaper::Reaper,
    load: load::LoadPoller,
    wait_estimate: wait_estimate::WaitEstimate,
    speed: speed::Speed,
}

impl Steward {
    /// Begins to be steward of a server.
    pub fn new(vm: platform::Vm, now: ids::Timestamp) -> Self {
        Self {
            vm,
            since: now,
            reported_holders: collections::BTreeSet::new(),
            collect_sent_at: None,
            reconciled_at: now,
            credits: credits::Credits::default(),
            queue: queue::Queue::default(),
            ramp: ramp::Ramp::default(),
            reaper: reaper::Reaper::default(),
            load: load::LoadPoller::default(),
            wait_estimate: wait_estimate::WaitEstimate::default(),
            speed: speed::Speed::default(),
        }
    }

    /// Takes the server's present item of the platform's list.
    pub fn set_vm(&mut self, vm: &platform::Vm) {
        if self.vm != *vm {
            self.vm = vm.clone();
        }
    }

    /// Collects anew: another entry may have been steward in between.
    pub fn recollect(&mut self, now: ids::Timestamp) {
        self.since = now;
        self.reported_holders.clear();
        self.collect_sent_at = None;
    }

    /// Ends the stewardship; returns the credits for the next steward and whom to refuse.
    pub fn retire(mut self, now: ids::Timestamp) -> (Vec<message::HeldCredit>, Vec<Decision>) {
        let credits = self
            .credits
            .iter()
            .map(|(request, credit)| message::HeldCredit {
                request: request.clone(),
                tokens: credit.tokens,
            })
            .collect();
        let waiting = self.queue.extract_if(|_| true);
        let refusals = waiting
            .into_iter()
            .map(|waiting| Decision::refuse(waiting, &not_steward(), now))
            .collect();
        (credits, refusals)
    }

    /// Takes a request for a credit.
    pub fn request_credit(
        &mut self,
        waiting: queue::Waiter,
        rules: &Context<'_>,
        fx: &mut Effects,
    ) {
        let wait = self.wait_estimate.estimate(self.queue.len());
        let patience = waiting.wait_until.saturating_sub(waiting.received_at);
        if wait > patience && self.load.report().is_some() {
            fx.decide(Decision::refuse(waiting, &overloaded(wait), rules.now));
            return;
        }
        match self.queue.push(waiting) {
            Ok(()) => self.serve_queue(rules, fx),
            Err(waiting) => fx.decide(Decision::refuse(*waiting, &overloaded(wait), rules.now)),
        }
    }

    /// Takes a credit back.
    pub fn release(
        &mut self,
        request: &str,
        feedback: &control::Feedback,
        rules: &Context<'_>,
        fx: &mut Effects,
    ) {
        let may_be_held = matches!(
            feedback.failure,
            Some(backend_server::BackendServerError::Broken(_))
        );
        let credit = self.credits.release(request, may_be_held, rules.now);
        if let Some(epoch) = feedback.epoch {
            self.observe_epoch(epoch, rules, fx);
        }
        if feedback.failure.is_some() {
            self.load.poll_now();
        } else if feedback.epoch.is_some() {
            self.ramp.request_finished();
        }
        if let Some(credit) = credit {
            self.learn_speed(&credit, feedback, rules, fx);
        }
        self.serve_queue(rules, fx);
    }

    /// Takes the epoch that an entry saw on an answer.
    pub fn observe_epoch(&mut self, epoch: ids::Epoch, rules: &Context<'_>, fx: &mut Effects) {
        if self.ramp.observe_epoch(epoch, rules.now) {
            self.announce_cold("answer of another epoch", rules, fx);
        }
    }

    /// Takes the end of a read of the server's load.
    pub fn on_load_read(
        &mut self,
        begun_at: ids::Timestamp,
        result: Result<backend_server::LoadReport, backend_server::BackendServerError>,
        rules: &Context<'_>,
        fx: &mut Effects,
    ) {
        let was_reachable = self.load.is_reachable();
        match result {
            Ok(report) => self.on_report(begun_at, report, rules, fx),
            Err(e) => self.load.on_failure(&e),
        }
        if was_reachable && !self.load.is_reachable() {
            fx.log_server(&self.vm.id, "unreachable", "reads of its load failed");
        }
        self.serve_queue(rules, fx);
    }

    fn on_report(
        &mut self,
        begun_at: ids::Timestamp,
        report: backend_server::LoadReport,
        rules: &Context<'_>,
        fx: &mut Effects,
    ) {
        let measured_at = begun_at.saturating_sub(report.age);
        if !self.load.on_report(measured_at, &report) {
            return;
        }
        let was_cold = self.ramp.is_cold();
        let warm_after = rules.limits(&self.vm).map_or(0, |limits| limits.warm_after);
        if self
            .ramp
            .on_report(measured_at, &report, warm_after, rules.now)
        {
            self.announce_cold("report", rules, fx);
        } else if was_cold && !self.ramp.is_cold() {
            fx.log_server(&self.vm.id, "warm", "report");
        }
        self.credits.on_report(measured_at, &report);
        self.reap(rules, fx);
    }

    /// Takes the credits that a member states.
    pub fn on_held_credits(
        &mut self,
        vm: &ids::VmId,
        credits: &[message::HeldCredit],
        rules: &Context<'_>,
        fx: &mut Effects,
    ) {
        let claimed: collections::BTreeSet<&str> =
            credits.iter().map(|held| held.request.as_str()).collect();
        self.reaper.on_held_credits(vm, &claimed);
        self.credits.remove_if(|request, credit| {
            let is_theirs = owner::of(request).is_some_and(|owner| owner.vm == *vm);
            let is_old = credit.granted_at + MIN_RECONCILE_AGE <= rules.now;
            let is_dropped = is_theirs && is_old && !claimed.contains(request);
            is_dropped && !mutation::on("lost_release_kept")
        });
        for held in credits {
            self.credits.adopt(&held.request, held.tokens, rules.now);
        }
        self.reported_holders.insert(vm.clone());
        self.serve_queue(rules, fx);
    }

    /// Goes on with what is due.
    pub fn tick(&mut self, rules: &Context<'_>, fx: &mut Effects) {
        if self.load.begin_read(rules.now) {
            fx.actions.push(action::Action::ReadLoad {
                server: self.vm.id.clone(),
                address: self.vm.address.clone(),
            });
        }
        self.drop_dead_owners(rules);
        self.collect(rules, fx);
        self.reconcile(rules, fx);
        self.serve_queue(rules, fx);
    }

    /// Returns whether anything is known of the server's load that may be stated.
    pub const fn is_load_known(&self) -> bool {
        self.load.is_known()
    }

    /// Returns the server's load as it is stated to other entries, its age not yet set.
    pub fn load_fact(&self) -> message::FactBody {
        let report = self.load.report_if_reachable().map(|report| {
            let mut report = report.clone();
            report.held.clear();
            report.age = time::Duration::ZERO;
            report.epoch = self.ramp.epoch().unwrap_or(report.epoch);
            if self.ramp.is_cold() {
                report.warmth = backend_server::Warmth::Cold;
            }
            report
        });
        message::FactBody::Load {
            server: self.vm.id.clone(),
            report,
            prefill_tokens_per_second: self.speed.tokens_per_second().unwrap_or_default(),
            credited_tokens: self.credits.granted_tokens(),
            credits: u32::try_from(self.credits.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the time at which the latest figures were measured.
    pub const fn measured_at(&self) -> ids::Timestamp {
        self.credits.measured_at()
    }

    fn drop_dead_owners(&mut self, rules: &Context<'_>) {
        let members = rules.members;
        self.credits.remove_if(|request, credit| {
            let Some(owner) = owner::of(request) else {
                return false;
            };
            let is_replaced = members
                .get(&owner.vm)
                .is_some_and(|member| member.supersedes(owner.incarnation));
            let is_usable = rules.now < credit.granted_at + credits::USE_WITHIN;
            is_replaced || (!is_usable && !members.is_alive(&owner.vm, owner.incarnation))
        });
        self.queue.extract_if(|waiting| match &waiting.requester {
            queue::Requester::Own { .. } => false,
            queue::Requester::Peer {
                vm, incarnation, ..
            } => !members.is_alive(vm, *incarnation),
        });
    }

    /// Asks those members for their credits that have not stated them yet.
    fn collect(&mut self, rules: &Context<'_>, fx: &mut Effects) {
        let missing = self.unreported_holders(rules);
        if missing.is_empty() || !is_due(self.collect_sent_at, COLLECT_INTERVAL, rules.now) {
            return;
        }
        self.collect_sent_at = Some(rules.now);
        fx.query.extend(missing);
    }

    /// Asks holders of old credits now and then whether they still hold them.
    fn reconcile(&mut self, rules: &Context<'_>, fx: &mut Effects) {
        if !is_due(Some(self.reconciled_at), RECONCILE_INTERVAL, rules.now) {
            return;
        }
        self.reconciled_at = rules.now;
        let owners = self
            .credits
            .iter()
            .filter(|(_, credit)| credit.granted_at + MIN_RECONCILE_AGE <= rules.now)
            .filter_map(|(request, _)| owner::of(request))
            .map(|owner| owner.vm);
        fx.query.extend(owners);
    }

    fn reap(&mut self, rules: &Context<'_>, fx: &mut Effects) {
        if !self.unreported_holders(rules).is_empty() {
            return;
        }
        let findings = self.reaper.check(
            self.credits.untracked(),
            rules.members,
            rules.has_majority,
            rules.now,
        );
        fx.query.extend(findings.query);
        for held in findings.cancel {
            fx.reap(&self.vm, held);
        }
    }

    /// Returns the live members that have not stated their credits.
    fn unreported_holders(&self, rules: &Context<'_>) -> Vec<ids::VmId> {
        if mutation::on("collecting_skipped") {
            return Vec::new();
        }
        rules
            .members
            .alive()
            .map(|(vm, _)| vm)
            .filter(|vm| !self.reported_holders.contains(*vm))
            .cloned()
            .collect()
    }

    /// Learns the prefill speed of work that had the server for itself.
    fn learn_speed(
        &mut self,
        credit: &credits::Grant,
        feedback: &control::Feedback,
        rules: &Context<'_>,
        fx: &mut Effects,
    ) {
        let Some(first_token) = feedback.first_token else {
            return;
        };
        if credit.running > 0 || credit.gang || self.ramp.is_cold() {
            return;
        }
        let known = self.speed.tokens_per_second();
        let known = known.or_else(|| {
            rules
                .limits(&self.vm)
                .map(|limits| limits.prefill_tokens_per_second)
        });
        if let Some(known) = known {
            let estimate = speed::prefill_time(feedback.prefill_tokens, known);
            let slowest = estimate.mul_f64(SLOW_FACTOR) + SLOW_ALLOWANCE;
            if first_token > slowest {
                self.ramp.mark_cold(None, rules.now);
                self.announce_cold("first token late", rules, fx);
                return;
            }
        }
        self.speed.learn(feedback.prefill_tokens, first_token);
    }

    /// Tells holders of credits that may still be used that the server turned cold.
    fn announce_cold(&self, reason: &str, rules: &Context<'_>, fx: &mut Effects) {
        fx.log_server(&self.vm.id, "cold", reason);
        let Some(epoch) = self.ramp.epoch() else {
            return;
        };
        let holders = self
            .credits
            .iter()
            .filter(|(_, credit)| rules.now < credit.granted_at + credits::USE_WITHIN)
            .filter_map(|(request, _)| owner::of(request))
            .map(|owner| owner.vm);
        fx.cold_sign = Some((epoch, holders.collect()));
    }
}

fn is_due(last: Option<ids::Timestamp>, interval: time::Duration, now: ids::Timestamp) -> bool {
    last.is_none_or(|last| now >= last + interval)
}

fn overloaded(wait: time::Duration) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::Overloaded,
        "the backend server has no place in time",
    )
    .retry_after(wait.max(time::Duration::from_secs(1)))
}

/// Returns the refusal for work asked of an entry that is not the steward.
pub fn not_steward() -> error::Error {
    error::Error::not_run(
        error::ErrorKind::NoBackendServer,
        "another entry hands out the credits of this backend server",
    )
    .retry_after(time::Duration::from_millis(500))
}

//! Steward of one backend server: grants credits for it.
//!
//! One entry at a time is the steward of a backend server, chosen by rendezvous hashing over the
//! members that are alive and not leaving. Entries may disagree on the members for a while, so a
//! new steward first collects the outstanding credits: every live member reports the credits that
//! it holds, and those that it recently granted as steward, but only once it too has chosen the
//! sender as steward. So an earlier steward has stopped granting when it reports.
//!
//! A cold server fails under too much work, so the steward is stricter there: it grants only while
//! it reaches a majority, after all live members and a majority of all members have reported, and
//! after a load report measured since it became steward. On a warm server the engine itself refuses
//! what it can't run, and members that do not report within [`COLLECT_TIMEOUT`] are skipped.

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

/// Interval between reads of a server's load.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time for which the steward of a warm server waits for members to report their credits.
pub const COLLECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Interval between requests for held credits to the same members.
const COLLECT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Age of a credit from which it is removed if its holder does not report it.
const MIN_RECONCILE_AGE: time::Duration = time::Duration::from_secs(3);
/// Interval between reconciliations of credits with their holders.
const RECONCILE_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// A first token later than this multiple of the estimate, plus [`SLOW_ALLOWANCE`], is a cold sign.
const SLOW_FACTOR: f64 = 4.0;
/// Delay of a first token beyond the estimate that is never a cold sign.
const SLOW_ALLOWANCE: time::Duration = time::Duration::from_secs(1);

/// Chooses the steward of a backend server; the same candidates give the same result everywhere.
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
    /// Creates the steward of a server.
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

    /// Updates the server's item of the platform's list.
    pub fn set_vm(&mut self, vm: &platform::Vm) {
        if self.vm != *vm {
            self.vm = vm.clone();
        }
    }

    /// Collects the outstanding credits again: another entry may have been steward in between.
    pub fn recollect(&mut self, now: ids::Timestamp) {
        self.since = now;
        self.reported_holders.clear();
        self.collect_sent_at = None;
    }

    /// Ends the stewardship; returns the credits for the next steward, and refusals for the queue.
    pub fn retire(mut self, now: ids::Timestamp) -> (Vec<message::HeldCredit>, Vec<Decision>) {
        let credits = self
            .credits
            .iter()
            .map(|(request, credit)| message::HeldCredit {
                request: request.clone(),
                tokens: credit.tokens,
            })
            .collect();
        let waiters = self.queue.extract_if(|_| true);
        let refusals = waiters
            .into_iter()
            .map(|waiter| Decision::refuse(waiter, &not_steward(), now))
            .collect();
        (credits, refusals)
    }

    /// Handles a credit request.
    pub fn request_credit(&mut self, waiter: queue::Waiter, cx: &Context<'_>, fx: &mut Effects) {
        let wait = self.wait_estimate.estimate(self.queue.len());
        let timeout = waiter.wait_until.saturating_sub(waiter.received_at);
        if wait > timeout && self.load.report().is_some() {
            fx.decide(Decision::refuse(waiter, &overloaded(wait), cx.now));
            return;
        }
        match self.queue.push(waiter) {
            Ok(()) => self.serve_queue(cx, fx),
            Err(waiter) => fx.decide(Decision::refuse(*waiter, &overloaded(wait), cx.now)),
        }
    }

    /// Handles the release of a credit.
    pub fn release(
        &mut self,
        request: &str,
        feedback: &control::Feedback,
        cx: &Context<'_>,
        fx: &mut Effects,
    ) {
        let may_be_held = matches!(
            feedback.failure,
            Some(backend_server::BackendServerError::Broken(_))
        );
        let credit = self.credits.release(request, may_be_held, cx.now);
        if let Some(epoch) = feedback.epoch {
            self.observe_epoch(epoch, cx, fx);
        }
        if feedback.failure.is_some() {
            self.load.poll_now();
        } else if feedback.epoch.is_some() {
            self.ramp.request_finished();
        }
        if let Some(credit) = credit {
            self.learn_speed(&credit, feedback, cx, fx);
        }
        self.serve_queue(cx, fx);
    }

    /// Handles the epoch that an entry saw on a response.
    pub fn observe_epoch(&mut self, epoch: ids::Epoch, cx: &Context<'_>, fx: &mut Effects) {
        if self.ramp.observe_epoch(epoch, cx.now) {
            self.announce_cold("response from another epoch", cx, fx);
        }
    }

    /// Handles the result of a read of the server's load.
    pub fn on_load_read(
        &mut self,
        begun_at: ids::Timestamp,
        result: Result<backend_server::LoadReport, backend_server::BackendServerError>,
        cx: &Context<'_>,
        fx: &mut Effects,
    ) {
        let was_reachable = self.load.is_reachable();
        match result {
            Ok(report) => self.on_report(begun_at, report, cx, fx),
            Err(e) => self.load.on_failure(&e),
        }
        if was_reachable && !self.load.is_reachable() {
            fx.log_server(&self.vm.id, "unreachable", "load reads failed");
        }
        self.serve_queue(cx, fx);
    }

    fn on_report(
        &mut self,
        begun_at: ids::Timestamp,
        report: backend_server::LoadReport,
        cx: &Context<'_>,
        fx: &mut Effects,
    ) {
        let measured_at = begun_at.saturating_sub(report.age);
        if !self.load.on_report(measured_at, &report) {
            return;
        }
        let was_cold = self.ramp.is_cold();
        let warm_after = cx.limits(&self.vm).map_or(0, |limits| limits.warm_after);
        if self
            .ramp
            .on_report(measured_at, &report, warm_after, cx.now)
        {
            self.announce_cold("report", cx, fx);
        } else if was_cold && !self.ramp.is_cold() {
            fx.log_server(&self.vm.id, "warm", "report");
        }
        self.credits.on_report(measured_at, &report);
        self.reap(cx, fx);
    }

    /// Handles a member's report of the credits that it holds.
    pub fn on_held_credits(
        &mut self,
        vm: &ids::VmId,
        credits: &[message::HeldCredit],
        cx: &Context<'_>,
        fx: &mut Effects,
    ) {
        let reported: collections::BTreeSet<&str> =
            credits.iter().map(|held| held.request.as_str()).collect();
        self.reaper.on_held_credits(vm, &reported);
        self.credits.remove_if(|request, credit| {
            let is_owned = owner::of(request).is_some_and(|owner| owner.vm == *vm);
            let is_old = credit.granted_at + MIN_RECONCILE_AGE <= cx.now;
            let is_dropped = is_owned && is_old && !reported.contains(request);
            is_dropped && !mutation::on("lost_release_kept")
        });
        for held in credits {
            self.credits.adopt(&held.request, held.tokens, cx.now);
        }
        self.reported_holders.insert(vm.clone());
        self.serve_queue(cx, fx);
    }

    /// Starts reads and requests that are due, and serves the queue.
    pub fn tick(&mut self, cx: &Context<'_>, fx: &mut Effects) {
        if self.load.begin_read(cx.now) {
            fx.actions.push(action::Action::ReadLoad {
                server: self.vm.id.clone(),
                address: self.vm.address.clone(),
            });
        }
        self.drop_dead_owners(cx);
        self.collect(cx, fx);
        self.reconcile(cx, fx);
        self.serve_queue(cx, fx);
    }

    /// Returns whether the server's load, or that it does not answer, is known.
    pub const fn is_load_known(&self) -> bool {
        self.load.is_known()
    }

    /// Returns the server's load as published to other entries; the caller sets its age.
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

    /// Returns the time at which the latest load report was measured.
    pub const fn measured_at(&self) -> ids::Timestamp {
        self.credits.measured_at()
    }

    fn drop_dead_owners(&mut self, cx: &Context<'_>) {
        let members = cx.members;
        self.credits.remove_if(|request, credit| {
            let Some(owner) = owner::of(request) else {
                return false;
            };
            let is_replaced = members
                .get(&owner.vm)
                .is_some_and(|member| member.supersedes(owner.incarnation));
            let is_usable = cx.now < credit.granted_at + credits::USE_WITHIN;
            is_replaced || (!is_usable && !members.is_alive(&owner.vm, owner.incarnation))
        });
        self.queue.extract_if(|waiter| match &waiter.requester {
            queue::Requester::Own { .. } => false,
            queue::Requester::Peer {
                vm, incarnation, ..
            } => !members.is_alive(vm, *incarnation),
        });
    }

    /// Requests the held credits of members that have not reported them yet.
    fn collect(&mut self, cx: &Context<'_>, fx: &mut Effects) {
        let unreported = self.unreported_holders(cx);
        if unreported.is_empty() || !is_due(self.collect_sent_at, COLLECT_INTERVAL, cx.now) {
            return;
        }
        self.collect_sent_at = Some(cx.now);
        fx.query.extend(unreported);
    }

    /// Regularly asks the holders of old credits whether they still hold them.
    fn reconcile(&mut self, cx: &Context<'_>, fx: &mut Effects) {
        if !is_due(Some(self.reconciled_at), RECONCILE_INTERVAL, cx.now) {
            return;
        }
        self.reconciled_at = cx.now;
        let owners = self
            .credits
            .iter()
            .filter(|(_, credit)| credit.granted_at + MIN_RECONCILE_AGE <= cx.now)
            .filter_map(|(request, _)| owner::of(request))
            .map(|owner| owner.vm);
        fx.query.extend(owners);
    }

    fn reap(&mut self, cx: &Context<'_>, fx: &mut Effects) {
        if !self.unreported_holders(cx).is_empty() {
            return;
        }
        let findings = self.reaper.check(
            self.credits.untracked(),
            cx.members,
            cx.has_majority,
            cx.now,
        );
        fx.query.extend(findings.query);
        for held in findings.cancel {
            fx.reap(&self.vm, held);
        }
    }

    /// Returns the live members that have not reported their credits.
    fn unreported_holders(&self, cx: &Context<'_>) -> Vec<ids::VmId> {
        if mutation::on("collecting_skipped") {
            return Vec::new();
        }
        cx.members
            .alive()
            .map(|(vm, _)| vm)
            .filter(|vm| !self.reported_holders.contains(*vm))
            .cloned()
            .collect()
    }

    /// Updates the prefill speed from a request that had the server to itself.
    fn learn_speed(
        &mut self,
        credit: &credits::Grant,
        feedback: &control::Feedback,
        cx: &Context<'_>,
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
            cx.limits(&self.vm)
                .map(|limits| limits.prefill_tokens_per_second)
        });
        if let Some(known) = known {
            let estimate = speed::prefill_time(feedback.prefill_tokens, known);
            let slowest = estimate.mul_f64(SLOW_FACTOR) + SLOW_ALLOWANCE;
            if first_token > slowest {
                self.ramp.mark_cold(None, cx.now);
                self.announce_cold("first token late", cx, fx);
                return;
            }
        }
        self.speed.learn(feedback.prefill_tokens, first_token);
    }

    /// Announces that the server turned cold, to holders whose credits may still be used.
    fn announce_cold(&self, reason: &str, cx: &Context<'_>, fx: &mut Effects) {
        fx.log_server(&self.vm.id, "cold", reason);
        let Some(epoch) = self.ramp.epoch() else {
            return;
        };
        let holders = self
            .credits
            .iter()
            .filter(|(_, credit)| cx.now < credit.granted_at + credits::USE_WITHIN)
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
        "the backend server has no free capacity in time",
    )
    .retry_after(wait.max(time::Duration::from_secs(1)))
}

/// Returns the refusal of a credit request by an entry that is not the steward.
pub fn not_steward() -> error::Error {
    error::Error::not_run(
        error::ErrorKind::NoBackendServer,
        "another entry hands out the credits of this backend server",
    )
    .retry_after(time::Duration::from_millis(500))
}

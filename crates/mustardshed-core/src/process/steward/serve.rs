//! Serves the queue: grants and refuses the requests that can be decided now.

use std::time;

use crate::{
    border::{control, platform},
    error, ids, mutation,
    process::{credits, limits, queue},
};

use super::{COLLECT_TIMEOUT, Context, Decision, Effects, Steward};

/// Whether credits may be granted on the server now.
#[derive(Debug, PartialEq)]
enum Admission {
    /// None, and waiting does not help.
    Refuse(error::Error),
    /// None yet.
    Wait,
    /// As many as the capacity allows.
    Admit(Capacity),
}

/// Limits of the server; `memory_tokens` is `None` if KV memory is not limited.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Capacity {
    epoch: ids::Epoch,
    max_running: u32,
    memory_tokens: Option<ids::Tokens>,
}

impl Steward {
    /// Decides the queued requests that can be decided now.
    pub(super) fn serve_queue(&mut self, cx: &Context<'_>, fx: &mut Effects) {
        if self.queue.is_empty() {
            self.wait_estimate.idle();
            return;
        }
        match self.admission(cx) {
            Admission::Refuse(refusal) => self.refuse_where(&refusal, cx, fx, |_| true),
            Admission::Wait => {}
            Admission::Admit(capacity) => self.grant_all(capacity, cx, fx),
        }
        let now = cx.now;
        let refusal = super::overloaded(self.wait_estimate.estimate(self.queue.len()));
        self.refuse_where(&refusal, cx, fx, |waiter| waiter.wait_until <= now);
    }

    fn refuse_where(
        &mut self,
        refusal: &error::Error,
        cx: &Context<'_>,
        fx: &mut Effects,
        is_refused: impl Fn(&queue::Waiter) -> bool,
    ) {
        for waiter in self.queue.extract_if(is_refused) {
            fx.decide(Decision::refuse(waiter, refusal, cx.now));
        }
    }

    fn grant_all(&mut self, capacity: Capacity, cx: &Context<'_>, fx: &mut Effects) {
        if let Some(max_memory_tokens) = capacity.memory_tokens {
            let exceeds_memory = unavailable("the work exceeds the memory of the backend server");
            self.refuse_where(&exceeds_memory, cx, fx, |waiter| {
                waiter.req.tokens > max_memory_tokens
            });
        }
        while let Some(index) = self.next_fitting(capacity, cx.now) {
            self.grant(index, capacity.epoch, cx, fx);
        }
    }

    /// Returns the first request in serving order that fits; none may overtake an overdue one.
    fn next_fitting(&self, capacity: Capacity, now: ids::Timestamp) -> Option<usize> {
        for index in self.queue.serving_order(now) {
            let waiter = self.queue.get(index)?;
            if self.fits(capacity, &waiter.req) {
                return Some(index);
            }
            if waiter.is_overdue(now) {
                return None;
            }
        }
        None
    }

    fn fits(&self, capacity: Capacity, req: &control::CreditRequest) -> bool {
        let is_memory_free = capacity.memory_tokens.is_none_or(|memory_tokens| {
            self.credits.used_tokens().saturating_add(req.tokens) <= memory_tokens
        });
        is_memory_free && self.credits.running() < capacity.max_running
    }

    fn grant(&mut self, index: usize, epoch: ids::Epoch, cx: &Context<'_>, fx: &mut Effects) {
        let Some(account) = self.queue.get(index).map(|waiter| &waiter.req.account) else {
            return;
        };
        let weight = cx
            .text
            .client_accounts
            .get(account)
            .map_or(1, |account| account.weight);
        let waiter = self.queue.serve(index, weight);
        let credit = credits::Grant {
            tokens: waiter.req.tokens,
            granted_at: cx.now,
            running: self.credits.running(),
            gang: waiter.req.gang,
        };
        self.credits.grant(waiter.req.request.clone(), credit);
        self.wait_estimate
            .served(waiter.received_at < cx.now, cx.now);
        fx.decide(Decision::grant(waiter, epoch, cx.now));
    }

    fn admission(&self, cx: &Context<'_>) -> Admission {
        if let Some(refusal) = self.refusal(cx) {
            return Admission::Refuse(refusal);
        }
        let Some(limits) = cx.limits(&self.vm) else {
            return Admission::Refuse(unavailable(
                "the configuration does not define the kind of the backend server",
            ));
        };
        let (Some(report), Some(epoch)) = (self.load.report(), self.ramp.epoch()) else {
            return Admission::Wait;
        };
        if !self.is_collected(cx) {
            return Admission::Wait;
        }
        let memory_tokens = memory_limit(report.memory_tokens, limits);
        Admission::Admit(Capacity {
            epoch,
            max_running: if self.ramp.is_cold() {
                limits.cold_limit
            } else {
                limits.max_running
            },
            memory_tokens,
        })
    }

    /// Returns the refusal of all requests if nothing may be granted and waiting does not help.
    fn refusal(&self, cx: &Context<'_>) -> Option<error::Error> {
        if !cx.may_place {
            return Some(error::Error::not_run(
                error::ErrorKind::ConfigurationStale,
                "the steward of the backend server cannot confirm its configuration",
            ));
        }
        let is_out = cx.data_centres_out.contains(&self.vm.data_centre);
        if is_out && !mutation::on("steward_ignores_out") {
            return Some(unavailable("the data centre is out of service"));
        }
        if self.is_leaving() && !mutation::on("leaving_ignored") {
            return Some(unavailable("the backend server is leaving"));
        }
        if !self.load.is_reachable() {
            return Some(unavailable("the backend server does not answer"));
        }
        if self.ramp.epoch().is_some() && self.ramp.is_cold() && !cx.has_majority {
            return Some(unavailable(
                "the steward of the cold backend server does not reach a majority",
            ));
        }
        None
    }

    /// Returns whether the server is leaving, by the platform's list or its own report.
    pub(super) fn is_leaving(&self) -> bool {
        let is_reported = self.load.report().is_some_and(|report| report.leaving);
        is_reported || self.vm.state == platform::VmState::Leaving
    }

    /// Returns whether a majority of the voters has reported to this entry as the steward.
    ///
    /// An entry that was cut off counts all others as dead until it hears of them again, and would
    /// otherwise need no reports at all.
    fn has_majority_reported(&self, cx: &Context<'_>) -> bool {
        let voters = cx.members.voters();
        let reported = voters
            .iter()
            .filter(|vm| self.reported_holders.contains(**vm));
        2 * reported.count() > voters.len() || mutation::on("minority_states")
    }

    fn is_collected(&self, cx: &Context<'_>) -> bool {
        let all_reported = self.unreported_holders(cx).is_empty();
        if self.ramp.is_cold() && !mutation::on("collecting_skipped") {
            let is_report_new = self.credits.measured_at() >= self.since;
            all_reported && self.has_majority_reported(cx) && cx.grace_over && is_report_new
        } else {
            all_reported || cx.now >= self.since + COLLECT_TIMEOUT
        }
    }
}

fn memory_limit(reported: ids::Tokens, limits: limits::Limits) -> Option<ids::Tokens> {
    let memory_tokens = if reported > 0 {
        reported
    } else {
        limits.memory_tokens
    };
    (memory_tokens > 0).then_some(memory_tokens)
}

fn unavailable(reason: &str) -> error::Error {
    error::Error::not_run(error::ErrorKind::NoBackendServer, reason)
        .retry_after(time::Duration::from_secs(1))
}

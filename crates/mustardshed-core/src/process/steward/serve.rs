//! Who of those that wait gets a credit now.

use std::time;

use crate::{
    boundary::{control, platform},
    error, ids, mutation,
    process::{credits, limits, queue},
};

use super::{COLLECT_TIMEOUT, Context, Decision, Effects, Steward};

/// Whether anything may be granted on the server.
#[derive(Debug, PartialEq)]
enum Admission {
    /// Nothing, and waiting does not help.
    Refuse(error::Error),
    /// Nothing yet.
    Wait,
    /// As much as the room allows.
    Admit(Capacity),
}

/// What the server bears.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Capacity {
    epoch: ids::Epoch,
    running: u32,
    memory_tokens: Option<ids::Tokens>,
}

impl Steward {
    /// Answers those that can be answered now.
    pub(super) fn serve_queue(&mut self, rules: &Context<'_>, fx: &mut Effects) {
        if self.queue.is_empty() {
            self.wait_estimate.idle();
            return;
        }
        match self.admission(rules) {
            Admission::Refuse(refusal) => self.refuse_where(&refusal, rules, fx, |_| true),
            Admission::Wait => {}
            Admission::Admit(room) => self.grant_all(room, rules, fx),
        }
        let now = rules.now;
        let refusal = super::overloaded(self.wait_estimate.estimate(self.queue.len()));
        self.refuse_where(&refusal, rules, fx, |waiting| waiting.wait_until <= now);
    }

    fn refuse_where(
        &mut self,
        refusal: &error::Error,
        rules: &Context<'_>,
        fx: &mut Effects,
        is_refused: impl Fn(&queue::Waiter) -> bool,
    ) {
        for waiting in self.queue.extract_if(is_refused) {
            fx.decide(Decision::refuse(waiting, refusal, rules.now));
        }
    }

    fn grant_all(&mut self, room: Capacity, rules: &Context<'_>, fx: &mut Effects) {
        if let Some(memory_tokens) = room.memory_tokens {
            let refusal = unavailable("the work exceeds the memory of the backend server");
            self.refuse_where(&refusal, rules, fx, |waiting| {
                waiting.req.tokens > memory_tokens
            });
        }
        while let Some(index) = self.next_fitting(room, rules.now) {
            self.grant(index, room.epoch, rules, fx);
        }
    }

    /// Returns the first in order that fits; nobody passes one that is overdue.
    fn next_fitting(&self, room: Capacity, now: ids::Timestamp) -> Option<usize> {
        for index in self.queue.serving_order(now) {
            let waiting = self.queue.get(index)?;
            if self.fits(room, &waiting.req) {
                return Some(index);
            }
            if waiting.is_overdue(now) {
                return None;
            }
        }
        None
    }

    fn fits(&self, room: Capacity, req: &control::CreditRequest) -> bool {
        let is_memory_free = room.memory_tokens.is_none_or(|memory_tokens| {
            self.credits.used_tokens().saturating_add(req.tokens) <= memory_tokens
        });
        is_memory_free && self.credits.running() < room.running
    }

    fn grant(&mut self, index: usize, epoch: ids::Epoch, rules: &Context<'_>, fx: &mut Effects) {
        let Some(account) = self.queue.get(index).map(|waiting| &waiting.req.account) else {
            return;
        };
        let weight = rules
            .text
            .client_accounts
            .get(account)
            .map_or(1, |account| account.weight);
        let waiting = self.queue.serve(index, weight);
        let credit = credits::Grant {
            tokens: waiting.req.tokens,
            granted_at: rules.now,
            running: self.credits.running(),
            gang: waiting.req.gang,
        };
        self.credits.grant(waiting.req.request.clone(), credit);
        self.wait_estimate
            .served(waiting.received_at < rules.now, rules.now);
        fx.decide(Decision::grant(waiting, epoch, rules.now));
    }

    fn admission(&self, rules: &Context<'_>) -> Admission {
        if let Some(refusal) = self.refusal(rules) {
            return Admission::Refuse(refusal);
        }
        let Some(limits) = rules.limits(&self.vm) else {
            return Admission::Refuse(unavailable(
                "the operators' text does not name the server's kind",
            ));
        };
        let (Some(report), Some(epoch)) = (self.load.report(), self.ramp.epoch()) else {
            return Admission::Wait;
        };
        if !self.is_collected(rules) {
            return Admission::Wait;
        }
        let memory_tokens = memory_limit(report.memory_tokens, limits);
        Admission::Admit(Capacity {
            epoch,
            running: if self.ramp.is_cold() {
                limits.cold_limit
            } else {
                limits.max_running
            },
            memory_tokens,
        })
    }

    /// Returns why nothing may be granted on this server, if waiting does not help.
    fn refusal(&self, rules: &Context<'_>) -> Option<error::Error> {
        if !rules.may_place {
            return Some(error::Error::not_run(
                error::ErrorKind::ConfigurationStale,
                "the steward of the backend server cannot confirm its configuration",
            ));
        }
        let is_out = rules.data_centres_out.contains(&self.vm.data_centre);
        if is_out && !mutation::on("steward_ignores_out") {
            return Some(unavailable("the data centre is out of service"));
        }
        if self.is_leaving() && !mutation::on("leaving_ignored") {
            return Some(unavailable("the backend server is leaving"));
        }
        if !self.load.is_reachable() {
            return Some(unavailable("the backend server does not answer"));
        }
        if self.ramp.epoch().is_some() && self.ramp.is_cold() && !rules.has_majority {
            return Some(unavailable(
                "the steward of the cold backend server is cut off",
            ));
        }
        None
    }

    /// Returns whether the server is about to leave, by the platform's list or its own report.
    pub(super) fn is_leaving(&self) -> bool {
        let is_reported = self.load.report().is_some_and(|report| report.leaving);
        is_reported || self.vm.state == platform::VmState::Leaving
    }

    /// Returns whether a majority of the voters took this entry for the steward.
    ///
    /// An entry that was cut off takes all others for dead until it hears of them again, and would
    /// otherwise collect from nobody.
    fn has_majority_reported(&self, rules: &Context<'_>) -> bool {
        let voters = rules.members.voters();
        let stated = voters
            .iter()
            .filter(|vm| self.reported_holders.contains(**vm));
        2 * stated.count() > voters.len() || mutation::on("minority_states")
    }

    fn is_collected(&self, rules: &Context<'_>) -> bool {
        let has_all = self.unreported_holders(rules).is_empty();
        if self.ramp.is_cold() && !mutation::on("collecting_skipped") {
            let is_seen = self.credits.measured_at() >= self.since;
            has_all && self.has_majority_reported(rules) && rules.grace_over && is_seen
        } else {
            has_all || rules.now >= self.since + COLLECT_TIMEOUT
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

//! Who of those that wait gets a credit now.

use std::time;

use crate::{
    boundary::{control, platform},
    error, ids, mutation,
    process::{credits, limits, queue},
};

use super::{COLLECT_FOR, Decision, Effects, Rules, Steward};

/// Whether anything may be granted on the server.
#[derive(Debug, PartialEq)]
enum Verdict {
    /// Nothing, and waiting does not help.
    Refuse(error::Error),
    /// Nothing yet.
    Wait,
    /// As much as the room allows.
    Serve(Room),
}

/// What the server bears.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Room {
    epoch: ids::Epoch,
    running: u32,
    memory_tokens: Option<ids::Tokens>,
}

impl Steward {
    /// Answers those that can be answered now.
    pub(super) fn serve(&mut self, rules: &Rules<'_>, fx: &mut Effects) {
        if self.queue.is_empty() {
            self.pace.idle();
            return;
        }
        match self.verdict(rules) {
            Verdict::Refuse(refusal) => self.refuse_where(&refusal, rules, fx, |_| true),
            Verdict::Wait => {}
            Verdict::Serve(room) => self.grant_all(room, rules, fx),
        }
        let now = rules.now;
        let refusal = super::overloaded(self.pace.wait(self.queue.len()));
        self.refuse_where(&refusal, rules, fx, |waiting| waiting.until <= now);
    }

    fn refuse_where(
        &mut self,
        refusal: &error::Error,
        rules: &Rules<'_>,
        fx: &mut Effects,
        is_refused: impl Fn(&queue::Waiting) -> bool,
    ) {
        for waiting in self.queue.take_where(is_refused) {
            fx.decide(Decision::refuse(waiting, refusal, rules.now));
        }
    }

    fn grant_all(&mut self, room: Room, rules: &Rules<'_>, fx: &mut Effects) {
        if let Some(memory_tokens) = room.memory_tokens {
            let refusal = unfit("the work exceeds the memory of the backend server");
            self.refuse_where(&refusal, rules, fx, |waiting| {
                waiting.req.tokens > memory_tokens
            });
        }
        while let Some(index) = self.next_fitting(room, rules.now) {
            self.grant(index, room.epoch, rules, fx);
        }
    }

    /// Returns the first in order that fits; nobody passes one that is overdue.
    fn next_fitting(&self, room: Room, now: ids::Timestamp) -> Option<usize> {
        for index in self.queue.order(now) {
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

    fn fits(&self, room: Room, req: &control::CreditRequest) -> bool {
        let is_memory_free = room.memory_tokens.is_none_or(|memory_tokens| {
            self.credits.used_tokens().saturating_add(req.tokens) <= memory_tokens
        });
        is_memory_free && self.credits.running() < room.running
    }

    fn grant(&mut self, index: usize, epoch: ids::Epoch, rules: &Rules<'_>, fx: &mut Effects) {
        let Some(account) = self.queue.get(index).map(|waiting| &waiting.req.account) else {
            return;
        };
        let weight = rules
            .text
            .client_accounts
            .get(account)
            .map_or(1, |account| account.weight);
        let waiting = self.queue.serve(index, weight);
        let credit = credits::Granted {
            tokens: waiting.req.tokens,
            granted_at: rules.now,
            running: self.credits.running(),
            gang: waiting.req.gang,
        };
        self.credits.grant(waiting.req.request.clone(), credit);
        self.pace.served(waiting.since < rules.now, rules.now);
        fx.decide(Decision::grant(waiting, epoch, rules.now));
    }

    fn verdict(&self, rules: &Rules<'_>) -> Verdict {
        if let Some(refusal) = self.obstacle(rules) {
            return Verdict::Refuse(refusal);
        }
        let Some(limits) = rules.limits(&self.vm) else {
            return Verdict::Refuse(unfit("the operators' text does not name the server's kind"));
        };
        let (Some(report), Some(epoch)) = (self.load.report(), self.ramp.epoch()) else {
            return Verdict::Wait;
        };
        if !self.is_collected(rules) {
            return Verdict::Wait;
        }
        let memory_tokens = memory_of(report.memory_tokens, limits);
        Verdict::Serve(Room {
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
    fn obstacle(&self, rules: &Rules<'_>) -> Option<error::Error> {
        if !rules.may_place {
            return Some(error::Error::not_run(
                error::ErrorKind::ConfigurationStale,
                "the steward of the backend server cannot confirm its configuration",
            ));
        }
        let is_out = rules.data_centres_out.contains(&self.vm.data_centre);
        if is_out && !mutation::on("steward_ignores_out") {
            return Some(unfit("the data centre is out of service"));
        }
        if self.is_leaving() && !mutation::on("leaving_ignored") {
            return Some(unfit("the backend server is leaving"));
        }
        if !self.load.is_reachable() {
            return Some(unfit("the backend server does not answer"));
        }
        if self.ramp.epoch().is_some() && self.ramp.is_cold() && !rules.has_majority {
            return Some(unfit("the steward of the cold backend server is cut off"));
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
    fn has_majority_stated(&self, rules: &Rules<'_>) -> bool {
        let voters = rules.members.voters();
        let stated = voters.iter().filter(|vm| self.stated.contains(**vm));
        2 * stated.count() > voters.len() || mutation::on("minority_states")
    }

    fn is_collected(&self, rules: &Rules<'_>) -> bool {
        let has_all = self.missing(rules).is_empty();
        if self.ramp.is_cold() && !mutation::on("collecting_skipped") {
            let is_seen = self.credits.measured_at() >= self.since;
            has_all && self.has_majority_stated(rules) && rules.is_quiet && is_seen
        } else {
            has_all || rules.now >= self.since + COLLECT_FOR
        }
    }
}

fn memory_of(reported: ids::Tokens, limits: limits::Limits) -> Option<ids::Tokens> {
    let memory_tokens = if reported > 0 {
        reported
    } else {
        limits.memory_tokens
    };
    (memory_tokens > 0).then_some(memory_tokens)
}

fn unfit(reason: &str) -> error::Error {
    error::Error::not_run(error::ErrorKind::NoBackendServer, reason)
        .retry_after(time::Duration::from_secs(1))
}

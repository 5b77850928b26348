//! Until when new work may be placed on the strength of the configuration in force.
//!
//! The configuration is *confirmed as of* a time when no later generation can have been accepted
//! before it. New work is placed for [`MAX_CONFIRMATION_AGE`] after that. Each rule is for a fault:
//!
//! - A platform read that shows the generation in force confirms as of its beginning. A read
//!   that shows an older one is stale and confirms nothing.
//! - An acknowledgement of a heartbeat confirms as of the heartbeat's sending less the
//!   acknowledger's own age of confirmation: for an entry that is cut off from the platform.
//! - Acknowledgements of a majority of the voters confirm as of the oldest of their heartbeats,
//!   when none shows a later generation: for an outage of the platform. Every intent reached a
//!   majority before it was written, so both majorities share a voter. Voters that may have
//!   forgotten an intent by a restart do not vouch, and their word does not count.
//! - All times are those of the sending, so that a process which was frozen, and then reads what
//!   waited for it, finds its confirmation old.

use std::{collections, time};

use crate::{
    ids, mutation,
    process::{members, message},
    version::confirmation,
};

/// Time after a confirmation for which new work may be placed.
pub const MAX_CONFIRMATION_AGE: time::Duration = time::Duration::from_secs(2);
/// Time from an intent to its write at most; a process vouches once it is confirmed for as long.
pub const VOTE_AFTER: time::Duration = time::Duration::from_secs(2);

/// Age of the last answer beyond which the platform does not answer.
const PLATFORM_SILENT_AFTER: time::Duration = time::Duration::from_millis(1200);

/// Confirmation of the configuration in force.
#[derive(Debug)]
pub struct Freshness {
    started_at: ids::Timestamp,
    confirmation: confirmation::Confirmation,
    answered_at: Option<ids::Timestamp>,
    votes: collections::BTreeMap<ids::VmId, ids::Timestamp>,
}

impl Freshness {
    /// Makes the freshness of a process that just started.
    pub fn new(now: ids::Timestamp) -> Self {
        Self {
            started_at: now,
            confirmation: confirmation::Confirmation::default(),
            answered_at: None,
            votes: collections::BTreeMap::new(),
        }
    }

    /// Takes the end of a read of the platform: when it began and the generation that it showed.
    pub fn on_platform_read(
        &mut self,
        begun_at: ids::Timestamp,
        shown: ids::Generation,
        in_force: ids::Generation,
    ) {
        self.answered_at = self.answered_at.max(Some(begun_at));
        if shown == in_force && in_force > 0 {
            self.confirm(begun_at);
        }
    }

    /// Takes a failed call on the platform.
    pub fn on_platform_failure(&mut self) {
        self.answered_at = None;
    }

    /// Takes an acknowledgement of a heartbeat of this process.
    pub fn on_heartbeat_ack(
        &mut self,
        vm: &ids::VmId,
        ack: &message::HeartbeatAck,
        in_force: ids::Generation,
        now: ids::Timestamp,
    ) {
        if ack.generation > in_force {
            self.votes.remove(vm);
            return;
        }
        let sent_at = if mutation::on("confirm_at_receipt") {
            now
        } else {
            ack.echo
        };
        if let Some(age) = ack.confirmation_age {
            self.confirm(sent_at.saturating_sub(age));
        }
        if ack.can_vote || mutation::on("restarted_vouches") {
            self.votes.insert(vm.clone(), sent_at);
        } else {
            self.votes.remove(vm);
        }
    }

    /// Confirms by a majority of the voters, if the platform does not answer.
    pub fn confirm_by_majority(
        &mut self,
        members: &members::Members,
        own: &str,
        now: ids::Timestamp,
    ) {
        let is_counted = !self.platform_answers(now) && !mutation::on("votes_uncounted");
        if !members.has_platform_list() || !is_counted {
            return;
        }
        let voters = members.voters();
        let mut votes: Vec<ids::Timestamp> = voters
            .iter()
            .filter_map(|vm| {
                if vm.as_str() == own {
                    self.can_vote().then_some(now)
                } else {
                    self.votes.get(vm.as_str()).copied()
                }
            })
            .collect();
        votes.sort_unstable_by(|a, b| b.cmp(a));
        let mut needed = voters.len() / 2 + 1;
        if mutation::on("one_vote_is_enough") {
            needed = 1;
        }
        if let Some(oldest) = votes.get(needed - 1) {
            self.confirm(*oldest);
        }
    }

    /// Returns whether the last call on the platform was answered, and lately.
    pub fn platform_answers(&self, now: ids::Timestamp) -> bool {
        self.answered_at
            .is_some_and(|at| now.saturating_sub(at) < PLATFORM_SILENT_AFTER)
    }

    /// Returns whether this process knows of every intent that may have been written.
    pub fn can_vote(&self) -> bool {
        self.confirmation
            .confirmed_at()
            .is_some_and(|at| at >= self.started_at + VOTE_AFTER)
    }

    /// Returns the age of the confirmation.
    pub fn confirmation_age(&self, now: ids::Timestamp) -> Option<time::Duration> {
        self.confirmation.age(now)
    }

    /// Returns the time until which new work may be placed; zero if the configuration was never
    /// confirmed.
    pub fn may_place_until(&self) -> ids::Timestamp {
        if mutation::on("freshness_unchecked") {
            return time::Duration::MAX;
        }
        self.confirmation
            .confirmed_at()
            .map_or(time::Duration::ZERO, |at| at + MAX_CONFIRMATION_AGE)
    }

    fn confirm(&mut self, at: ids::Timestamp) {
        self.confirmation.confirm(at);
    }
}

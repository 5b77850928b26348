//! How long new work may be placed by the configuration in force.
//!
//! The configuration is *confirmed as of* a time if no later generation can have been accepted
//! before it. New work is placed for [`MAX_CONFIRMATION_AGE`] after that. Each rule is for a fault:
//!
//! - A platform read that shows the generation in force confirms as of its beginning. A read
//!   that shows an older one is stale and confirms nothing.
//! - A heartbeat acknowledgement confirms as of the time at which the heartbeat was sent, minus the
//!   age of the peer's own confirmation. This serves an entry that cannot reach the platform.
//! - Acknowledgements of a majority of the voters confirm as of the oldest of their heartbeats, if
//!   none shows a later generation. This serves during an outage of the platform. Every intent
//!   reached a majority before it was written, so both majorities share a voter. Voters that may
//!   have lost an intent in a restart cannot vote, and their acknowledgements do not count.
//! - All times are those of sending, so that a process that was suspended, and then reads messages
//!   that were queued for it, finds its confirmation old.

use std::{collections, time};

use crate::{
    ids, mutation,
    process::{members, message},
    version::confirmation,
};

/// Age of a confirmation up to which new work may be placed.
pub const MAX_CONFIRMATION_AGE: time::Duration = time::Duration::from_secs(2);
/// Maximum time from an intent to its write; a process can vote once it is confirmed as of this
/// long after its start.
pub const VOTE_AFTER: time::Duration = time::Duration::from_secs(2);

/// Time since the last response from which on the platform counts as unavailable.
const PLATFORM_SILENT_AFTER: time::Duration = time::Duration::from_millis(1200);

/// Confirmation of the configuration in force.
#[derive(Debug)]
pub struct Freshness {
    started_at: ids::Timestamp,
    confirmation: confirmation::Confirmation,
    last_response_at: Option<ids::Timestamp>,
    votes: collections::BTreeMap<ids::VmId, ids::Timestamp>,
}

impl Freshness {
    /// Makes the state of a process that has just started.
    pub fn new(now: ids::Timestamp) -> Self {
        Self {
            started_at: now,
            confirmation: confirmation::Confirmation::default(),
            last_response_at: None,
            votes: collections::BTreeMap::new(),
        }
    }

    /// Records a platform read: when it began, and which generation it `shown`.
    pub fn on_platform_read(
        &mut self,
        begun_at: ids::Timestamp,
        shown: ids::Generation,
        in_force: ids::Generation,
    ) {
        self.last_response_at = self.last_response_at.max(Some(begun_at));
        if shown == in_force && in_force > 0 {
            self.confirm(begun_at);
        }
    }

    /// Records a failed platform call.
    pub fn on_platform_failure(&mut self) {
        self.last_response_at = None;
    }

    /// Records an acknowledgement of a heartbeat of this process.
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

    /// Confirms by a majority of the voters, if the platform is unavailable.
    pub fn confirm_by_majority(
        &mut self,
        members: &members::Members,
        own: &str,
        now: ids::Timestamp,
    ) {
        let are_votes_counted = !self.platform_answers(now) && !mutation::on("votes_uncounted");
        if !members.has_platform_list() || !are_votes_counted {
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

    /// Returns whether the last platform call succeeded, and recently.
    pub fn platform_answers(&self, now: ids::Timestamp) -> bool {
        self.last_response_at
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

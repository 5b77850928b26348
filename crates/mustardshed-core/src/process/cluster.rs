//! What the decisions of a node rest upon: members, configuration, its freshness, the majority.

use std::{collections, time};

use crate::{
    ids, mutation,
    process::{credits, members, node, quorum, steward},
    version::{configuration, freshness},
};

/// Age up to which a count of votes and of the majority is used again.
const RECOUNT_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// What the decisions of a node rest upon.
#[derive(Debug)]
pub struct ClusterState {
    /// Members.
    pub members: members::Members,
    /// Configuration in force.
    pub configuration: configuration::Configuration,
    /// Its freshness.
    pub freshness: freshness::Freshness,
    /// Reach of a majority.
    pub quorum: quorum::Quorum,
    own: ids::VmId,
    data_centres_out: collections::BTreeSet<ids::DataCentreId>,
    /// Time after which no credit is in use that nobody states.
    grace_until: ids::Timestamp,
    has_majority: bool,
    /// Whether a majority of the listed was ever reached.
    is_known_to_majority: bool,
    counted_at: Option<ids::Timestamp>,
}

impl ClusterState {
    /// Makes the world of a process that just started.
    pub fn new(identity: &node::Identity, now: ids::Timestamp) -> Self {
        Self {
            members: members::Members::new(identity, now),
            configuration: configuration::Configuration::default(),
            freshness: freshness::Freshness::new(now),
            quorum: quorum::Quorum::default(),
            own: identity.vm.clone(),
            data_centres_out: collections::BTreeSet::new(),
            grace_until: now + credits::USE_WITHIN,
            has_majority: false,
            is_known_to_majority: false,
            counted_at: None,
        }
    }

    /// Returns what stewards decide upon.
    pub fn steward_context(&self, now: ids::Timestamp) -> steward::Context<'_> {
        steward::Context {
            now,
            members: &self.members,
            text: self.configuration.text(),
            data_centres_out: &self.data_centres_out,
            may_place: now < self.may_place_until(),
            has_majority: self.has_majority,
            grace_over: now >= self.grace_until,
        }
    }

    /// Returns the time until which new work may be placed.
    pub fn may_place_until(&self) -> ids::Timestamp {
        if self.members.is_superseded() {
            return time::Duration::ZERO;
        }
        self.freshness.may_place_until()
    }

    /// Returns whether a steward can be asked: this entry, or one that is live and reached.
    ///
    /// One that only others reach would let work wait in vain, since the link to it is cut.
    pub fn can_ask(&self, vm: &str, now: ids::Timestamp) -> bool {
        let is_live = self
            .members
            .get(vm)
            .is_some_and(|member| member.state == members::State::Live);
        let is_reached =
            self.quorum.reaches(&self.members, vm, now) || mutation::on("unreached_asked");
        vm == self.own || (is_live && is_reached)
    }

    /// Returns the data centres that get no new work.
    pub const fn data_centres_out(&self) -> &collections::BTreeSet<ids::DataCentreId> {
        &self.data_centres_out
    }

    /// Takes over the data centres that the configuration and its intents take out.
    pub fn refresh_data_centres_out(&mut self) {
        self.data_centres_out = self.configuration.data_centres_out();
    }

    /// Notes that a run of an entry ended, or that this one did not run for a while: credits that
    /// nobody states may still be used.
    pub fn start_grace_period(&mut self, now: ids::Timestamp) {
        self.extend_grace_period(now + credits::USE_WITHIN);
    }

    /// Notes that a majority is reached for the first time, which therefore knows this run.
    ///
    /// An earlier run on the same VM that goes on unaware takes itself to reach a majority for
    /// [`quorum::MAX_ACK_AGE`] more, and what it grants then may be used later still.
    fn note_first_majority(&mut self, now: ids::Timestamp) {
        if mutation::on("earlier_run_forgotten") {
            return;
        }
        self.extend_grace_period(now + quorum::MAX_ACK_AGE + credits::USE_WITHIN);
    }

    /// Puts off the time after which no credit is in use that nobody states.
    fn extend_grace_period(&mut self, time: ids::Timestamp) {
        self.grace_until = self.grace_until.max(time);
    }

    /// Counts the votes for the configuration and the reach of a majority, unless that was done
    /// just now; returns whether a majority is reached again.
    pub fn count_votes(&mut self, now: ids::Timestamp) -> bool {
        let is_recent = |at| now.saturating_sub(at) < RECOUNT_INTERVAL;
        if self.counted_at.is_some_and(is_recent) {
            return false;
        }
        self.counted_at = Some(now);
        self.freshness
            .confirm_by_majority(&self.members, &self.own, now);
        let had_majority = self.has_majority;
        self.has_majority = self.quorum.has_majority(&self.members, &self.own, now);
        let is_reached_again = self.has_majority && !had_majority;
        let is_listed_known = self.members.has_platform_list();
        if self.has_majority && !self.is_known_to_majority && (is_reached_again || is_listed_known)
        {
            self.note_first_majority(now);
            self.is_known_to_majority = is_listed_known;
        }
        is_reached_again
    }
}

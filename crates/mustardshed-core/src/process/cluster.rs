//! Shared state behind the decisions of a node: members, configuration, freshness and quorum.

use std::{collections, time};

use crate::{
    ids, mutation,
    process::{credits, members, node, quorum, steward},
    version::{configuration, freshness},
};

/// Age up to which a count of the votes and of the majority is reused.
const RECOUNT_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Shared state behind the decisions of a node.
#[derive(Debug)]
pub struct ClusterState {
    /// Members.
    pub members: members::Members,
    /// Configuration in force.
    pub configuration: configuration::Configuration,
    /// Freshness of the configuration.
    pub freshness: freshness::Freshness,
    /// Entries that answer this one.
    pub quorum: quorum::Quorum,
    own: ids::VmId,
    data_centres_out: collections::BTreeSet<ids::DataCentreId>,
    /// End of the grace period, after which every credit still in use is reported by its holder or
    /// its granter.
    grace_until: ids::Timestamp,
    has_majority: bool,
    /// Whether a majority of the listed entries was ever reached, and so knows this incarnation.
    is_known_to_majority: bool,
    counted_at: Option<ids::Timestamp>,
}

impl ClusterState {
    /// Makes the state of a process that has just started.
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

    /// Returns what the decisions of stewards depend on.
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

    /// Returns the time until which new work may be placed; zero once a later incarnation is known.
    pub fn may_place_until(&self) -> ids::Timestamp {
        if self.members.is_superseded() {
            return time::Duration::ZERO;
        }
        self.freshness.may_place_until()
    }

    /// Returns whether a steward can be asked: it is this entry, or is live and reached by it.
    ///
    /// A request to one that only other entries reach would get no answer, since the link is down.
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

    /// Updates the data centres out of service from the configuration and its intents.
    pub fn refresh_data_centres_out(&mut self) {
        self.data_centres_out = self.configuration.data_centres_out();
    }

    /// Starts a grace period of [`credits::USE_WITHIN`].
    ///
    /// Called when an entry died or restarted, or when this process was frozen: credits that nobody
    /// reports may then still be used.
    pub fn start_grace_period(&mut self, now: ids::Timestamp) {
        self.extend_grace_period(now + credits::USE_WITHIN);
    }

    /// Extends the grace period when a majority is reached, and thus knows this incarnation, for
    /// the first time.
    ///
    /// An earlier incarnation on the same VM that is still running may consider a majority reached
    /// until its last acknowledgements expire, and what it grants until then may be used for
    /// [`credits::USE_WITHIN`] more.
    fn note_first_majority(&mut self, now: ids::Timestamp) {
        if mutation::on("earlier_run_forgotten") {
            return;
        }
        self.extend_grace_period(now + quorum::MAX_ACK_AGE + credits::USE_WITHIN);
    }

    /// Extends the grace period to a time, unless it ends later already.
    fn extend_grace_period(&mut self, time: ids::Timestamp) {
        self.grace_until = self.grace_until.max(time);
    }

    /// Counts the votes for the configuration and the reached entries, unless the last count is
    /// still recent; returns whether a majority is reached that was not before.
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
        let is_newly_reached = self.has_majority && !had_majority;
        let has_platform_list = self.members.has_platform_list();
        if self.has_majority
            && !self.is_known_to_majority
            && (is_newly_reached || has_platform_list)
        {
            self.note_first_majority(now);
            self.is_known_to_majority = has_platform_list;
        }
        is_newly_reached
    }
}

//! Inputs of a steward's decisions besides the server itself.

use std::collections;

use mustardshed_config::text;

use crate::{
    boundary::platform,
    ids,
    process::{limits, members},
};

/// State of the entry at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Current time.
    pub now: ids::Timestamp,
    /// Members.
    pub members: &'a members::Members,
    /// Configuration in force.
    pub text: &'a text::Text,
    /// Data centres that are out of service and get no new work.
    pub data_centres_out: &'a collections::BTreeSet<ids::DataCentreId>,
    /// Whether the configuration was confirmed recently enough to place work.
    pub may_place: bool,
    /// Whether this entry reaches a majority of the members.
    pub has_majority: bool,
    /// Whether the grace period is over in which unreported credits may still be used.
    pub grace_over: bool,
}

impl Context<'_> {
    /// Returns the limits of a backend server; `None` if the configuration lacks its kind.
    pub fn limits(&self, vm: &platform::Vm) -> Option<limits::Limits> {
        match &vm.role {
            platform::VmRole::BackendServer { kind } => limits::of(self.text, kind),
            platform::VmRole::Entry => None,
        }
    }
}

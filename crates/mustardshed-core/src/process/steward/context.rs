//! What a steward's decisions rest upon beside the server itself.

use std::collections;

use mustardshed_config::text;

use crate::{
    boundary::platform,
    ids,
    process::{limits, members},
};

/// State of the entry at the moment of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Present time.
    pub now: ids::Timestamp,
    /// Members.
    pub members: &'a members::Members,
    /// Operators' text in force.
    pub text: &'a text::Text,
    /// Data centres that get no new work.
    pub data_centres_out: &'a collections::BTreeSet<ids::DataCentreId>,
    /// Whether the configuration is confirmed lately enough.
    pub may_place: bool,
    /// Whether this entry reaches a majority.
    pub has_majority: bool,
    /// Whether no run of an entry ended so lately that its credits may still be used.
    pub grace_over: bool,
}

impl Context<'_> {
    /// Returns the limits of a backend server.
    pub fn limits(&self, vm: &platform::Vm) -> Option<limits::Limits> {
        match &vm.role {
            platform::VmRole::BackendServer { kind } => limits::of(self.text, kind),
            platform::VmRole::Entry => None,
        }
    }
}

//! Entries that may become stewards.

use std::collections;

use crate::{ids, process::members};

/// Entries that may become stewards, by data centre.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    all: Vec<&'a ids::VmId>,
    by_data_centre: collections::BTreeMap<&'a str, Vec<&'a ids::VmId>>,
}

impl<'a> Candidates<'a> {
    /// Returns the live members that are not leaving, or all live members if all are leaving.
    pub(super) fn of(members: &'a members::Members) -> Self {
        let mut candidates = Self::filtered(members, |member| !member.leaving);
        if candidates.all.is_empty() {
            candidates = Self::filtered(members, |_| true);
        }
        candidates
    }

    /// Returns the candidates in a data centre, or all if it has none.
    pub(super) fn in_data_centre(&self, data_centre: &str) -> &[&'a ids::VmId] {
        self.by_data_centre.get(data_centre).unwrap_or(&self.all)
    }

    fn filtered(
        members: &'a members::Members,
        is_eligible: impl Fn(&members::Member) -> bool,
    ) -> Self {
        let mut candidates = Self {
            all: Vec::new(),
            by_data_centre: collections::BTreeMap::new(),
        };
        for (vm, member) in members.alive().filter(|(_, member)| is_eligible(member)) {
            candidates.all.push(vm);
            let local = candidates.by_data_centre.entry(&member.data_centre);
            local.or_default().push(vm);
        }
        candidates
    }
}

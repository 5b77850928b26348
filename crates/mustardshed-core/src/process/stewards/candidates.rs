//! Entries that may be stewards.

use std::collections;

use crate::{ids, process::members};

/// Entries that may be stewards, by data centre.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    all: Vec<&'a ids::VmId>,
    by_data_centre: collections::BTreeMap<&'a str, Vec<&'a ids::VmId>>,
}

impl<'a> Candidates<'a> {
    /// Returns the members that are alive and do not leave, or all that are alive if all leave.
    pub(super) fn of(members: &'a members::Members) -> Self {
        let mut candidates = Self::filtered(members, |member| !member.leaving);
        if candidates.all.is_empty() {
            candidates = Self::filtered(members, |_| true);
        }
        candidates
    }

    /// Returns the candidates of a data centre, or all if it has none.
    pub(super) fn in_data_centre(&self, data_centre: &str) -> &[&'a ids::VmId] {
        self.by_data_centre.get(data_centre).unwrap_or(&self.all)
    }

    fn filtered(members: &'a members::Members, may_be: impl Fn(&members::Member) -> bool) -> Self {
        let mut candidates = Self {
            all: Vec::new(),
            by_data_centre: collections::BTreeMap::new(),
        };
        for (vm, member) in members.alive().filter(|(_, member)| may_be(member)) {
            candidates.all.push(vm);
            let near = candidates.by_data_centre.entry(&member.data_centre);
            near.or_default().push(vm);
        }
        candidates
    }
}

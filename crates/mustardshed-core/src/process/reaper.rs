//! Cancels orphaned work on one backend server.
//!
//! A request's identifier names the run of the process that owns it. Work of an ended run is
//! cancelled at once if a later run of that process is known, and otherwise only after a long
//! silence, since an entry behind a network partition continues its work. Work that its live owner
//! does not know, for example after a lost cancellation, is cancelled when the owner has not
//! reported it for a while.

use std::{collections, time};

use crate::{boundary::backend_server, ids, process::members, request::owner};

/// Silence of an owner after which its work is cancelled while the platform still lists its VM.
pub const GONE_AFTER: time::Duration = time::Duration::from_secs(20);
/// Time for which untracked work of a live or unknown owner is left before it is cancelled.
pub const DISOWNED_AFTER: time::Duration = time::Duration::from_secs(10);
/// Time between two attempts to cancel the same work.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Work that no credit covers.
#[derive(Clone, Debug)]
struct Untracked {
    since: ids::Timestamp,
    is_disowned: bool,
    cancelled_at: Option<ids::Timestamp>,
}

/// Result of a check.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    /// Work to cancel.
    pub cancel: Vec<backend_server::HeldRequest>,
    /// Live owners to query for their held credits.
    pub query: collections::BTreeSet<ids::VmId>,
}

/// Work on one backend server that no credit covers.
#[derive(Debug, Default)]
pub struct Reaper {
    untracked: collections::BTreeMap<ids::RequestId, Untracked>,
}

impl Reaper {
    /// Checks the untracked work of the latest report.
    ///
    /// Work of owners that are gone or unknown is cancelled only if `has_majority`, since otherwise
    /// this entry may be the one that is cut off.
    pub fn check<'a>(
        &mut self,
        untracked_work: impl Iterator<Item = &'a backend_server::HeldRequest>,
        members: &members::Members,
        has_majority: bool,
        now: ids::Timestamp,
    ) -> Findings {
        let mut findings = Findings::default();
        let mut untracked = collections::BTreeMap::new();
        for held in untracked_work {
            let Some(owner) = owner::of(&held.id) else {
                continue;
            };
            let mut item = self.untracked.remove(&held.id).unwrap_or(Untracked {
                since: now,
                is_disowned: false,
                cancelled_at: None,
            });
            let is_over = match owner_state(members, &owner, now) {
                OwnerState::Replaced => true,
                OwnerState::Gone => has_majority,
                OwnerState::Unknown => has_majority && now >= item.since + DISOWNED_AFTER,
                OwnerState::Alive => {
                    findings.query.insert(owner.vm);
                    item.is_disowned && now >= item.since + DISOWNED_AFTER
                }
                OwnerState::RecentlyDead => false,
            };
            let is_due = item
                .cancelled_at
                .is_none_or(|at| now >= at + RETRY_INTERVAL);
            if is_over && is_due && !crate::mutation::on("reaper_off") {
                item.cancelled_at = Some(now);
                findings.cancel.push(held.clone());
            }
            untracked.insert(held.id.clone(), item);
        }
        self.untracked = untracked;
        findings
    }

    /// Records which untracked work a live owner left out of its report of held credits.
    pub fn on_held_credits(&mut self, vm: &str, reported: &collections::BTreeSet<&str>) {
        for (request, item) in &mut self.untracked {
            let is_owner = owner::of(request).is_some_and(|owner| owner.vm == vm);
            if is_owner {
                item.is_disowned = !reported.contains(request.as_str());
            }
        }
    }
}

/// State of the run that owns a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OwnerState {
    /// It is alive.
    Alive,
    /// It is dead, but has not been silent for long enough.
    RecentlyDead,
    /// It has been silent for long, or the platform no longer lists its VM.
    Gone,
    /// It has not been seen yet.
    Unknown,
    /// A later run of the process is known.
    Replaced,
}

fn owner_state(
    members: &members::Members,
    owner: &owner::Owner,
    now: ids::Timestamp,
) -> OwnerState {
    let Some(member) = members.get(&owner.vm) else {
        return OwnerState::Unknown;
    };
    if member.supersedes(owner.incarnation) {
        return OwnerState::Replaced;
    }
    if member.incarnation < owner.incarnation {
        return OwnerState::Unknown;
    }
    if member.state != members::State::Dead {
        return OwnerState::Alive;
    }
    let is_listed = members.listed(&owner.vm).is_some();
    if !is_listed || now.saturating_sub(member.last_seen_at) >= GONE_AFTER {
        return OwnerState::Gone;
    }
    OwnerState::RecentlyDead
}

//! Work on one backend server that nobody owns any more.
//!
//! A request's identifier names the run of the process that owns it. Work of a run that is over is
//! cancelled at once when a later run of that process is known, or after a long silence, since an
//! entry that is only cut off goes on with its work. Work of a live owner that does not know it,
//! as after a lost cancellation, is cancelled when the owner has denied it for a while.

use std::{collections, time};

use crate::{boundary::backend_server, ids, process::members, request::owner};

/// Silence of an owner after which its work is cancelled, if the platform still lists its VM.
pub const GONE_AFTER: time::Duration = time::Duration::from_secs(20);
/// Time for which a live owner must not claim work before it is cancelled.
pub const DISOWNED_AFTER: time::Duration = time::Duration::from_secs(10);
/// Time between two cancellations of the same work.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Work that no credit stands for.
#[derive(Clone, Debug)]
struct Untracked {
    since: ids::Timestamp,
    is_disowned: bool,
    cancelled_at: Option<ids::Timestamp>,
}

/// What the reaper wants done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    /// Work to be cancelled.
    pub cancel: Vec<backend_server::HeldRequest>,
    /// Live owners to be asked for their credits.
    pub query: collections::BTreeSet<ids::VmId>,
}

/// Work on one backend server that no credit stands for.
#[derive(Debug, Default)]
pub struct Reaper {
    untracked: collections::BTreeMap<ids::RequestId, Untracked>,
}

impl Reaper {
    /// Takes the work that no credit stands for, by the latest report.
    ///
    /// `has_majority` tells whether silence of others may be held against them.
    pub fn check<'a>(
        &mut self,
        unknown: impl Iterator<Item = &'a backend_server::HeldRequest>,
        members: &members::Members,
        has_majority: bool,
        now: ids::Timestamp,
    ) -> Findings {
        let mut findings = Findings::default();
        let mut unowned = collections::BTreeMap::new();
        for held in unknown {
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
            unowned.insert(held.id.clone(), item);
        }
        self.untracked = unowned;
        findings
    }

    /// Notes that a live owner stated its credits, and which of its work they leave out.
    pub fn on_held_credits(&mut self, vm: &str, claimed: &collections::BTreeSet<&str>) {
        for (request, item) in &mut self.untracked {
            let is_owner = owner::of(request).is_some_and(|owner| owner.vm == vm);
            if is_owner {
                item.is_disowned = !claimed.contains(request.as_str());
            }
        }
    }
}

/// What is known of the run that owns a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OwnerState {
    /// It runs.
    Alive,
    /// It has not been heard of for a while.
    RecentlyDead,
    /// It has been silent for long, or its VM is gone from the list.
    Gone,
    /// It was never heard of.
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

//! Work on one backend server that nobody owns any more.
//!
//! A request's identifier names the run of the process that owns it. Work of a run that is over is
//! cancelled at once when a later run of that process is known, or after a long silence, since an
//! entry that is only cut off goes on with its work. Work of a live owner that does not know it,
//! as after a lost cancellation, is cancelled when the owner has denied it for a while.

use std::{collections, time};

use crate::{boundary::backend_server, ids, process::members, request::owner};

/// Silence of an owner after which its work is cancelled, if the platform still lists its VM.
pub const SILENT_FOR: time::Duration = time::Duration::from_secs(20);
/// Time for which a live owner must not claim work before it is cancelled.
pub const UNCLAIMED_FOR: time::Duration = time::Duration::from_secs(10);
/// Time between two cancellations of the same work.
const AGAIN_AFTER: time::Duration = time::Duration::from_secs(1);

/// Work that no credit stands for.
#[derive(Clone, Debug)]
struct Unowned {
    since: ids::Timestamp,
    is_denied: bool,
    cancelled_at: Option<ids::Timestamp>,
}

/// What the reaper wants done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    /// Work to be cancelled.
    pub cancel: Vec<backend_server::HeldRequest>,
    /// Live owners to be asked for their credits.
    pub ask: collections::BTreeSet<ids::VmId>,
}

/// Work on one backend server that no credit stands for.
#[derive(Debug, Default)]
pub struct Reaper {
    unowned: collections::BTreeMap<ids::RequestId, Unowned>,
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
            let mut item = self.unowned.remove(&held.id).unwrap_or(Unowned {
                since: now,
                is_denied: false,
                cancelled_at: None,
            });
            let is_over = match standing(members, &owner, now) {
                Standing::Over => true,
                Standing::Silent => has_majority,
                Standing::Unknown => has_majority && now >= item.since + UNCLAIMED_FOR,
                Standing::Alive => {
                    findings.ask.insert(owner.vm);
                    item.is_denied && now >= item.since + UNCLAIMED_FOR
                }
                Standing::Quiet => false,
            };
            let is_due = item.cancelled_at.is_none_or(|at| now >= at + AGAIN_AFTER);
            if is_over && is_due && !crate::mutation::on("reaper_off") {
                item.cancelled_at = Some(now);
                findings.cancel.push(held.clone());
            }
            unowned.insert(held.id.clone(), item);
        }
        self.unowned = unowned;
        findings
    }

    /// Notes that a live owner stated its credits, and which of its work they leave out.
    pub fn stated(&mut self, vm: &str, claimed: &collections::BTreeSet<&str>) {
        for (request, item) in &mut self.unowned {
            let is_owner = owner::of(request).is_some_and(|owner| owner.vm == vm);
            if is_owner {
                item.is_denied = !claimed.contains(request.as_str());
            }
        }
    }
}

/// What is known of the run that owns a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// It runs.
    Alive,
    /// It has not been heard of for a while.
    Quiet,
    /// It has been silent for long, or its VM is gone from the list.
    Silent,
    /// It was never heard of.
    Unknown,
    /// A later run of the process is known.
    Over,
}

fn standing(members: &members::Members, owner: &owner::Owner, now: ids::Timestamp) -> Standing {
    let Some(member) = members.get(&owner.vm) else {
        return Standing::Unknown;
    };
    if member.supersedes(owner.incarnation) {
        return Standing::Over;
    }
    if member.incarnation < owner.incarnation {
        return Standing::Unknown;
    }
    if member.state != members::State::Dead {
        return Standing::Alive;
    }
    let is_listed = members.listed(&owner.vm).is_some();
    if !is_listed || now.saturating_sub(member.last_seen_at) >= SILENT_FOR {
        return Standing::Silent;
    }
    Standing::Quiet
}

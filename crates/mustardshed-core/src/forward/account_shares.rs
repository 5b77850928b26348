//! How much of a service one client account may use while others need it too.
//!
//! Load pattern addressed: one account sends ten times its usual demand (a hot prompt, or clients
//! that retry at once) and takes the capacity of all others. Slots and pending prefills of a
//! service are divided max-min fairly among the accounts with work in flight there. Shares bind
//! only where capacity is scarce: an account over its share gets none of the last slots, and may
//! delay other requests by less.

use std::time;

use crate::forward::{
    engine,
    placement::{self, NotPlaced},
};

mod episodes;
mod usage;

pub use episodes::{Ended, Episodes};
pub use usage::{ByAccount, Usage, UsageTracker};

/// Share of a service's capacity that is divided among the accounts; the rest is reserved for
/// those under their share.
const DIVIDED_SHARE: f64 = 0.75;
/// Pending prefill for which there is room on each engine, in milliseconds: about the shortest
/// objective of a first event.
const PREFILL_ROOM_MS: f64 = 250.0;
/// Smallest factor on the cost that a request may cause, so that no account starves.
const MIN_COST_FACTOR: f64 = 0.1;
/// Shortest time after which a refused client may retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// Part of each resource that is divided among accounts, or that one of them may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests at a time.
    pub slots: f64,
    /// Engine time of pending prefills, in milliseconds.
    pub prefill_ms: f64,
}

impl Share {
    /// Returns the part of the capacity of a service's servers that is divided among accounts.
    fn divided(candidates: &[placement::Candidate<'_>], profile: Option<&engine::Profile>) -> Self {
        let slots: f64 = candidates
            .iter()
            .map(|candidate| slots(candidate, profile))
            .sum();
        Self {
            slots: slots * DIVIDED_SHARE,
            prefill_ms: count_f64(candidates.len()) * PREFILL_ROOM_MS * DIVIDED_SHARE,
        }
    }

    /// Returns the share of each account if this is divided among them; infinite if there is
    /// enough for all, or only one has work in flight.
    fn of_each(self, by_account: &ByAccount) -> Self {
        let slots = by_account.usages().map(|usage| count_f64(usage.slots));
        let prefills = by_account.usages().map(|usage| usage.prefill_ms);
        Self {
            slots: max_min_share(slots.collect(), self.slots),
            prefill_ms: max_min_share(prefills.collect(), self.prefill_ms),
        }
    }
}

/// Returns the share of each account in `capacity`, given what each of them uses: whoever uses
/// less than an equal part keeps that, and the others divide the rest. It is infinite if the
/// capacity is enough for all, or there is only one account.
#[must_use]
pub fn max_min_share(mut usages: Vec<f64>, capacity: f64) -> f64 {
    if usages.len() < 2 || usages.iter().sum::<f64>() <= capacity {
        return f64::INFINITY;
    }
    usages.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    for (i, usage) in usages.iter().enumerate() {
        let share = left / count_f64(usages.len() - i);
        if *usage > share {
            return share;
        }
        left -= usage;
    }
    f64::INFINITY
}

/// An account's work in flight on a service, and its share there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Its work in flight.
    pub usage: Usage,
    /// Its share.
    share: Share,
    /// Whether the servers that accept work have slots beyond the reserved ones.
    has_slots: bool,
    /// Mean duration of its requests, in milliseconds; none on plain services.
    mean_ms: Option<f64>,
}

impl Standing {
    /// The standing of a request whose account has no work in flight or is not limited.
    pub const UNLIMITED: Self = Self {
        usage: Usage {
            slots: 0,
            prefill_ms: 0.0,
            output_tokens: 0,
        },
        share: Share {
            slots: f64::INFINITY,
            prefill_ms: f64::INFINITY,
        },
        has_slots: true,
        mean_ms: None,
    };

    /// Judges an account on a service with these servers.
    #[must_use]
    pub fn new(
        tracker: &UsageTracker,
        service: &str,
        account: &str,
        candidates: &[placement::Candidate<'_>],
        profile: Option<&engine::Profile>,
    ) -> Self {
        let Some(by_account) = tracker.of_service(service) else {
            return Self::UNLIMITED;
        };
        let usage = by_account.of(account);
        if usage.slots == 0 {
            return Self::UNLIMITED;
        }
        let divided = Share::divided(candidates, profile);
        let share = divided.of_each(by_account);
        // Jobs on servers that accept no more work count as usage, but do not make slots scarce.
        let has_slots = count_f64(usage.slots) <= share.slots || {
            let ids = candidates.iter().map(|candidate| &candidate.server.id);
            let taken: usize = ids.map(|id| tracker.in_flight(id)).sum();
            count_f64(taken) < divided.slots
        };
        let mean_ms = profile.map(|profile| {
            let decode_ms = engine::tokens_f64(usage.output_tokens) * profile.step_ms;
            (usage.prefill_ms + decode_ms) / count_f64(usage.slots)
        });
        Self {
            usage,
            share,
            has_slots,
            mean_ms,
        }
    }

    /// Returns the ratio of the share to the usage, one at most; that of the resource of which the
    /// account has more than its share by the larger factor.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        let slots = self.share.slots / count_f64(self.usage.slots);
        let prefill = self.share.prefill_ms / self.usage.prefill_ms;
        slots.min(prefill).min(1.0)
    }

    /// Returns a request of the account with the limits of its share.
    ///
    /// # Errors
    ///
    /// Returns [`NotPlaced::OverShare`] if the request would take a reserved slot.
    pub fn limit(&self, need: &placement::Need) -> Result<placement::Need, NotPlaced> {
        if !self.has_slots && !need.is_retry {
            return Err(self.over_share(need));
        }
        let factor = self.ratio().max(MIN_COST_FACTOR);
        Ok(placement::Need {
            max_cost_share: need.max_cost_share * factor,
            ..*need
        })
    }

    /// Returns why a request is not placed: its account's share, if it would have been placed
    /// without the limits of the share.
    #[must_use]
    pub fn explain(&self, reason: NotPlaced, need: &placement::Need) -> NotPlaced {
        match reason {
            NotPlaced::TooCostly {
                cost,
                interference,
                weight,
                ..
            } if self.ratio() < 1.0
                && cost <= weight
                && interference <= weight * need.max_cost_share =>
            {
                self.over_share(need)
            }
            _ => reason,
        }
    }

    fn over_share(&self, need: &placement::Need) -> NotPlaced {
        NotPlaced::OverShare {
            usage: self.usage,
            ratio: self.ratio(),
            is_out_of_slots: !self.has_slots,
            retry_after: self.retry_after(need),
        }
    }

    /// Returns the time after which the account's work in flight is expected to have fallen to its
    /// share: the requests are of evenly spread ages, so that in a part of their mean duration as
    /// large a part of them ends.
    fn retry_after(&self, need: &placement::Need) -> time::Duration {
        let mean_ms = self.mean_ms.unwrap_or(need.objective_ms);
        engine::millis(mean_ms * (1.0 - self.ratio())).max(MIN_RETRY_AFTER)
    }
}

/// The account that holds most slots of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Largest<'a> {
    /// Name of the account.
    pub account: &'a str,
    /// Its work in flight.
    pub usage: Usage,
    /// Slots that each account may hold now; all of them while they are not scarce.
    pub share: f64,
}

/// Returns the account that holds most of the `slots` of a service; none if no named account has
/// work in flight there.
#[must_use]
pub fn largest<'a>(tracker: &'a UsageTracker, service: &str, slots: usize) -> Option<Largest<'a>> {
    let by_account = tracker.of_service(service)?;
    let (account, usage) = by_account.largest()?;
    let slots = count_f64(slots);
    let usages = by_account.usages().map(|usage| count_f64(usage.slots));
    let share = max_min_share(usages.collect(), slots * DIVIDED_SHARE);
    Some(Largest {
        account,
        usage: *usage,
        share: share.min(slots),
    })
}

fn slots(candidate: &placement::Candidate<'_>, profile: Option<&engine::Profile>) -> f64 {
    let slots = candidate.server.slots.max(1);
    f64::from(profile.map_or(slots, |profile| slots.min(profile.slots)))
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
const fn count_f64(count: usize) -> f64 {
    count as f64
}

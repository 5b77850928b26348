//! Which entries callers should use, and with which weights.
//!
//! An entry that is leaving or not live is never listed; one in a data centre that is out of
//! service only if there is no other. The weight of the others halves with each doubling of the
//! delay from the caller's data centre beyond [`NEAR_DELAY`], and falls with the share of slots in
//! use. Each listed entry has at least [`MIN_WEIGHT`], so that callers never all use the same one.
//!
//! ```
//! use std::time;
//!
//! use mustardshed_core::process::{entry_weights, event, node};
//!
//! let identity = node::Identity {
//!     vm: "e1".into(),
//!     incarnation: 1,
//!     data_centre: "a".into(),
//!     address: "127.0.0.1:1".into(),
//!     peer_address: "127.0.0.1:2".into(),
//! };
//! let mut node = node::Node::new(identity, 7, time::Duration::ZERO);
//! node.handle(event::Event::Tick, node::TICK);
//! let snapshot = node.snapshot(node::TICK);
//! let weighed = entry_weights::weigh(&snapshot, None);
//! assert_eq!(weighed[0].weight, entry_weights::MAX_WEIGHT);
//! ```

use std::time;

use crate::{
    ids,
    process::{busy, snapshot},
};

/// Weight of a near and idle entry.
pub const MAX_WEIGHT: u32 = 100;
/// Lowest weight of an entry that callers may use.
pub const MIN_WEIGHT: u32 = 1;
/// One-way delay below which data centres count as equally near.
pub const NEAR_DELAY: time::Duration = time::Duration::from_millis(1);

/// An entry that callers may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Weighted<'a> {
    /// The entry.
    pub member: &'a snapshot::MemberView,
    /// Its weight relative to the other entries in the list.
    pub weight: u32,
}

/// Returns the entries that a caller in the data centre `origin` should use, with their weights.
///
/// Without an origin, or with one that the configuration does not define, the caller counts as
/// being in the data centre of this entry.
pub fn weigh<'a>(snapshot: &'a snapshot::Snapshot, origin: Option<&str>) -> Vec<Weighted<'a>> {
    let origin = origin_or_own(snapshot, origin);
    snapshot
        .entries_for_callers()
        .map(|member| Weighted {
            member,
            weight: weight(delay(snapshot, origin, &member.data_centre), member.busy),
        })
        .collect()
}

/// Returns the data centre from which a caller's delays are measured.
pub fn origin_or_own<'a>(
    snapshot: &'a snapshot::Snapshot,
    origin: Option<&str>,
) -> &'a ids::DataCentreId {
    let named = origin.and_then(|name| snapshot.text.data_centres.get_key_value(name));
    named.map_or(&snapshot.data_centre, |(name, _)| name)
}

/// Returns the weight of an entry with this delay from the caller and this busy level.
fn weight(delay: time::Duration, busy: ids::BusyLevel) -> u32 {
    let idle_weight = MAX_WEIGHT.checked_shr(doublings(delay)).unwrap_or(0);
    let free_levels = u32::from(busy::MAX_LEVEL.saturating_sub(busy));
    (idle_weight * free_levels / u32::from(busy::MAX_LEVEL)).max(MIN_WEIGHT)
}

/// Returns how often [`NEAR_DELAY`] must be doubled to exceed a delay.
const fn doublings(delay: time::Duration) -> u32 {
    let ratio = delay.as_micros() / NEAR_DELAY.as_micros();
    u128::BITS - ratio.leading_zeros()
}

/// Returns the one-way delay between two data centres, as far as this entry can estimate it.
fn delay(snapshot: &snapshot::Snapshot, origin: &str, to: &str) -> time::Duration {
    let own = &snapshot.data_centre;
    if origin == to {
        time::Duration::ZERO
    } else if origin == own {
        measured_delay(snapshot, to)
    } else if to == own {
        measured_delay(snapshot, origin)
    } else if is_same_region(snapshot, origin, to) && !is_same_region(snapshot, origin, own) {
        delay_within_region(snapshot)
    } else {
        measured_delay(snapshot, origin).max(measured_delay(snapshot, to))
    }
}

/// Returns the measured delay to another data centre; zero until it was measured.
fn measured_delay(snapshot: &snapshot::Snapshot, to: &str) -> time::Duration {
    snapshot.latencies.get(to).copied().unwrap_or_default()
}

/// Returns the longest delay within this entry's region, used as the estimate for any region.
fn delay_within_region(snapshot: &snapshot::Snapshot) -> time::Duration {
    let own = &snapshot.data_centre;
    snapshot
        .latencies
        .iter()
        .filter(|(name, _)| *name != own && is_same_region(snapshot, name, own))
        .map(|(_, delay)| *delay)
        .max()
        .unwrap_or_default()
}

fn is_same_region(snapshot: &snapshot::Snapshot, a: &str, b: &str) -> bool {
    let region = |name| snapshot.text.data_centres.get(name).map(|dc| &dc.region);
    region(a).is_some() && region(a) == region(b)
}

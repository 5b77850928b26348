//! Schedule of the faults, generated from a seed.

use std::time;

use rand::{RngExt, SeedableRng};

use super::fault;

/// Divisor for the share of the storm in which faults do not overlap.
const ALONE_DIVISOR: u32 = 2;
/// Range of the time from one overlapping fault to the next, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 300..3_000;

/// A scheduled fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Planned {
    /// Kind of the fault.
    pub kind: fault::Kind,
    /// Time from the storm's start.
    pub at: time::Duration,
    /// How long it lasts.
    pub lasts: time::Duration,
    /// Number from which the target is chosen.
    pub target: usize,
}

/// Returns the faults of a storm in the order of their times.
///
/// In the first half each kind occurs once, in random order; in the second they overlap.
pub fn of_seed(seed: u64, duration: time::Duration) -> Vec<Planned> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut kinds = fault::Kind::ALL.to_vec();
    for i in (1..kinds.len()).rev() {
        kinds.swap(i, rng.random_range(0..=i));
    }
    let alone = duration / ALONE_DIVISOR;
    let slot = alone / kinds.len() as u32;
    let mut planned = Vec::new();
    for (i, kind) in kinds.into_iter().enumerate() {
        let fault = draw(&mut rng, kind, slot * i as u32);
        planned.push(fault);
    }
    let mut at = alone;
    while at < duration {
        let kind = draw_kind(&mut rng);
        planned.push(draw(&mut rng, kind, at));
        at += time::Duration::from_millis(rng.random_range(GAP_MS));
    }
    planned
}

fn draw(rng: &mut rand_pcg::Pcg64Mcg, kind: fault::Kind, at: time::Duration) -> Planned {
    let (least, greatest) = kind.lasts_ms();
    Planned {
        kind,
        at,
        lasts: time::Duration::from_millis(rng.random_range(least..=greatest)),
        target: rng.random_range(0..usize::from(u16::MAX)),
    }
}

fn draw_kind(rng: &mut rand_pcg::Pcg64Mcg) -> fault::Kind {
    let total: u32 = fault::Kind::ALL.iter().map(|kind| kind.weight()).sum();
    let mut drawn = rng.random_range(0..total);
    for kind in fault::Kind::ALL {
        if drawn < kind.weight() {
            return kind;
        }
        drawn -= kind.weight();
    }
    fault::Kind::EntryKilled
}

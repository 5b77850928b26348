//! Checks, after a storm, that every promise held.

pub mod answers;
pub mod charges;
pub mod cold;
pub mod configuration;
pub mod data_centres;
pub mod deadlines;
pub mod fates;
pub mod leaving;
pub mod memory;
pub mod refusals;
pub mod stops;

use super::{evidence, verdict};

/// Checks every promise.
pub fn all(evidence: &evidence::Evidence) -> Vec<verdict::Verdict> {
    vec![
        deadlines::check(evidence),
        memory::check(evidence),
        cold::check(evidence),
        data_centres::check(evidence),
        answers::check(evidence),
        refusals::check(evidence),
        charges::check(evidence),
        leaving::check(evidence),
        stops::check(evidence),
        configuration::check(evidence),
        fates::check(evidence),
    ]
}

//! How much more a request counts than less urgent ones of the same service.
//!
//! Load pattern addressed: a wave of long prompts with seconds to spare, beside short requests that
//! must begin at once. Weighed by length alone, one long prompt may delay many short ones, although
//! the configuration ranks them first. Where the routes of a service have the same priority, all
//! requests count as before.

/// Factor by which a request counts more than one of the next priority.
const RANK_FACTOR: f64 = 1.5;
/// Ranks beyond which the factor does not grow, so that the least urgent requests are still served.
const MAX_RANKS: u8 = 2;

/// Returns the factor by which the weight of a request grows whose route has `priority`, where zero
/// is the most urgent, if `least_urgent` is the greatest priority among the routes of its service.
#[must_use]
pub fn factor(priority: u8, least_urgent: u8) -> f64 {
    let ranks = least_urgent.saturating_sub(priority).min(MAX_RANKS);
    RANK_FACTOR.powi(i32::from(ranks))
}

//! Whether and when a second engine is given a short prompt whose first token is late.
//!
//! A hedge costs a second prefill, so it is made for short prefills only, well after the estimate,
//! and only where the second engine promises what the first one did. It is paid from the budget of
//! the service's retries, see [`super::retry`].
//!
//! ```
//! use std::time;
//!
//! use mustardshed_core::request::{hedge, route::estimate};
//!
//! let estimate = estimate::Estimate {
//!     prefill: time::Duration::from_millis(100),
//!     ..estimate::Estimate::default()
//! };
//! let late = hedge::late_after(&estimate, 1_000, hedge::ALLOWANCE);
//! assert_eq!(late, Some(time::Duration::from_millis(400)));
//! assert_eq!(hedge::late_after(&estimate, 100_000, hedge::ALLOWANCE), None);
//! ```

use std::time;

use crate::{ids, request::route::estimate};

/// Longest prefill that is done twice, in tokens.
pub const MAX_PREFILL_TOKENS: ids::Tokens = 8_192;
/// Time beyond the multiple of the estimate before a first token is late.
pub const ALLOWANCE: time::Duration = time::Duration::from_millis(200);
/// Multiple of the estimate before a first token is late.
const LATE_FACTOR: u32 = 2;
/// Multiple of the first engine's estimate that a second one's may not exceed.
const WORSE_FACTOR: u32 = 2;

/// Returns the time after the send at which a first token is late; nothing for a long prefill.
pub fn late_after(
    estimate: &estimate::Estimate,
    prefill_tokens: ids::Tokens,
    allowance: time::Duration,
) -> Option<time::Duration> {
    let is_short = prefill_tokens <= MAX_PREFILL_TOKENS;
    is_short.then(|| estimate.total().saturating_mul(LATE_FACTOR) + allowance)
}

/// Returns whether a second engine promises about what the first one did.
pub fn is_worthwhile(first: &estimate::Estimate, second: &estimate::Estimate) -> bool {
    second.total() <= first.total().saturating_mul(WORSE_FACTOR)
}

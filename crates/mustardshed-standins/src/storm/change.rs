//! Maps each kind of fault to the fault settings of a stand-in.

use serde_json::{Value, json};

use super::fault::Kind;

/// Delay of a call to a slow platform, in milliseconds.
const SLOW_MS: u64 = 700;
/// Number of consecutive responses that are lost.
const LOST_ANSWERS: u64 = 3;
/// Age of stale reads, in milliseconds.
const STALE_MS: u64 = 2_500;
/// Number of tokens after which streams are cut off.
const BREAK_AFTER: u64 = 7;

/// A change of a stand-in's fault settings, with the change that reverts it.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Settings that start the fault.
    pub on: Value,
    /// Settings that end it.
    pub off: Value,
}

impl Change {
    const fn new(on: Value, off: Value) -> Self {
        Self { on, off }
    }

    /// Returns the change for the platform, or `None` if the kind does not affect all its callers.
    pub fn of_platform(kind: Kind) -> Option<Self> {
        Some(match kind {
            Kind::PlatformOutage => {
                Self::new(json!({ "outage": true }), json!({ "outage": false }))
            }
            Kind::PlatformSlow => Self::new(json!({ "slow_ms": SLOW_MS }), json!({ "slow_ms": 0 })),
            Kind::AnswersLost => Self::new(
                json!({ "lose_answers": LOST_ANSWERS }),
                json!({ "lose_answers": 0 }),
            ),
            Kind::StaleReads => Self::new(
                json!({ "stale_reads_ms": STALE_MS }),
                json!({ "stale_reads_ms": 0 }),
            ),
            _ => return None,
        })
    }

    /// Returns the change for an engine, or `None` if the kind does not affect engines.
    pub fn of_engine(kind: Kind) -> Option<Self> {
        Some(match kind {
            Kind::EngineDead => Self::new(json!({ "dead": true }), json!({ "dead": false })),
            Kind::EngineCold => Self::new(json!({ "turn_cold": true }), json!({})),
            Kind::StreamsBroken => Self::new(
                json!({ "break_streams_after_tokens": BREAK_AFTER }),
                json!({ "break_streams_after_tokens": null }),
            ),
            Kind::FramesCrossed => Self::new(
                json!({ "cross_frames": true }),
                json!({ "cross_frames": false }),
            ),
            _ => return None,
        })
    }

    /// Returns the change for a server of a plain service, or `None` if the kind affects none.
    pub fn of_service(kind: Kind) -> Option<Self> {
        Some(match kind {
            Kind::ServiceCold => Self::new(json!({ "turn_cold": true }), json!({})),
            Kind::ServiceAnswersLost => Self::new(
                json!({ "lose_answers": LOST_ANSWERS }),
                json!({ "lose_answers": 0 }),
            ),
            _ => return None,
        })
    }
}

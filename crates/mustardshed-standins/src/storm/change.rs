//! Changes of the stand-ins' faults that a kind of fault stands for.

use serde_json::{Value, json};

use super::fault::Kind;

/// Delay of a call to a slow platform, in milliseconds.
const SLOW_MS: u64 = 700;
/// Answers that are lost at once.
const LOST_ANSWERS: u64 = 3;
/// Age of stale reads, in milliseconds.
const STALE_MS: u64 = 2_500;
/// Tokens after which streams break off.
const BREAK_AFTER: u64 = 7;

/// A change of a stand-in's faults and the one that undoes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Begins the fault.
    pub on: Value,
    /// Ends it.
    pub off: Value,
}

impl Change {
    const fn new(on: Value, off: Value) -> Self {
        Self { on, off }
    }

    /// Returns the change of the platform's faults, if the kind strikes the platform as a whole.
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

    /// Returns the change of an engine's faults, if the kind strikes an engine.
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

    /// Returns the change of a plain service's faults, if the kind strikes a server of one.
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

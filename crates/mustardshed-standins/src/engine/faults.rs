//! Faults that can be switched on while an engine runs.

use serde::{Deserialize, Serialize};

/// Lag of load reports, in milliseconds of the engine's clock.
const LOAD_LAG_MS: u64 = 100;
/// Lag of cache events, in milliseconds of the engine's clock.
const EVENT_LAG_MS: u64 = 500;
/// Share of cache events that are lost, in percent.
const DROP_EVENTS_PERCENT: u8 = 2;

/// The active faults.
#[derive(Clone, Debug, Serialize)]
pub struct Faults {
    /// Connections are closed without a response.
    pub dead: bool,
    /// The engine takes no new work.
    pub leaving: bool,
    /// Lag of load reports in milliseconds.
    pub load_lag_ms: u64,
    /// Lag of cache events in milliseconds.
    pub event_lag_ms: u64,
    /// Share of cache events that are lost, in percent.
    pub drop_events_percent: u8,
    /// Extra duration of a step, in percent.
    pub slow_percent: u32,
    /// Number of tokens after which a stream is aborted.
    pub break_streams_after_tokens: Option<u64>,
    /// Whether frames of other requests are written into streams.
    pub cross_frames: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            dead: false,
            leaving: false,
            load_lag_ms: LOAD_LAG_MS,
            event_lag_ms: EVENT_LAG_MS,
            drop_events_percent: DROP_EVENTS_PERCENT,
            slow_percent: 0,
            break_streams_after_tokens: None,
            cross_frames: false,
        }
    }
}

impl Faults {
    /// Applies the fields that a change contains.
    pub fn apply(&mut self, change: &FaultChange) {
        set(&mut self.dead, change.dead);
        set(&mut self.leaving, change.leaving);
        set(&mut self.load_lag_ms, change.load_lag_ms);
        set(&mut self.event_lag_ms, change.event_lag_ms);
        set(&mut self.drop_events_percent, change.drop_events_percent);
        set(&mut self.slow_percent, change.slow_percent);
        set(&mut self.cross_frames, change.cross_frames);
        set(
            &mut self.break_streams_after_tokens,
            change.break_streams_after_tokens,
        );
    }
}

/// A change of some of the faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// New value of [`Faults::dead`].
    pub dead: Option<bool>,
    /// New value of [`Faults::leaving`].
    pub leaving: Option<bool>,
    /// Makes the engine cold now.
    pub turn_cold: bool,
    /// New value of [`Faults::load_lag_ms`].
    pub load_lag_ms: Option<u64>,
    /// New value of [`Faults::event_lag_ms`].
    pub event_lag_ms: Option<u64>,
    /// New value of [`Faults::drop_events_percent`].
    pub drop_events_percent: Option<u8>,
    /// New value of [`Faults::slow_percent`].
    pub slow_percent: Option<u32>,
    /// New value of [`Faults::break_streams_after_tokens`]; `null` switches it off.
    #[serde(deserialize_with = "present")]
    pub break_streams_after_tokens: Option<Option<u64>>,
    /// New value of [`Faults::cross_frames`].
    pub cross_frames: Option<bool>,
}

fn set<T: Copy>(field: &mut T, change: Option<T>) {
    if let Some(value) = change {
        *field = value;
    }
}

/// Distinguishes a `null` field from an absent one.
fn present<'de, D>(deserializer: D) -> Result<Option<Option<u64>>, D::Error>
where
    D: serde::Deserializer<'de>,
{
    Option::deserialize(deserializer).map(Some)
}

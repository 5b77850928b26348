//! A waiting watch on the objects of one kind.

use std::time;

use crate::platform::state;

/// Longest timeout of a watch.
const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(300);
/// Interval at which a watch checks again: a stale read becomes fresh without a write.
const RECHECK: time::Duration = time::Duration::from_millis(100);

/// A watch on the objects of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Watch {
    /// Name of the caller, from `X-Caller`.
    pub caller: String,
    /// Kind of the objects.
    pub kind: String,
    /// Version after which changes are reported.
    pub since: u64,
}

/// How a watch ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The changes; empty after the timeout.
    Changes(state::Changes),
    /// The changes since that version are no longer kept.
    HistoryGone,
    /// An outage began or the caller was cut off.
    Refused,
}

impl Watch {
    /// Waits for a change, until `timeout` is over or the caller's calls are refused.
    pub async fn wait(&self, state: &state::State, timeout: time::Duration) -> Outcome {
        let deadline = tokio::time::Instant::now() + timeout.min(MAX_TIMEOUT);
        let mut changes = state.changes();
        loop {
            changes.mark_unchanged();
            if state.refuses(&self.caller) {
                return Outcome::Refused;
            }
            if state.has_forgotten(self.since) {
                return Outcome::HistoryGone;
            }
            let changed = state.changed(&self.kind, self.since);
            if !changed.changed.is_empty() || tokio::time::Instant::now() >= deadline {
                return Outcome::Changes(changed);
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep(RECHECK) => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }
}

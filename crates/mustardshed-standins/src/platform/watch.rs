//! A waiting watch on the objects of one kind.

use std::time;

use crate::platform::state;

/// Longest patience of a watch.
const MAX_PATIENCE: time::Duration = time::Duration::from_secs(300);
/// Time after which a watch looks again by itself, since a stale read becomes fresh without a write.
const RECHECK: time::Duration = time::Duration::from_millis(100);

/// A watch on the objects of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Watch {
    /// Name that the caller gives itself.
    pub caller: String,
    /// Kind of the objects.
    pub kind: String,
    /// Version beyond which a change is newer.
    pub since: u64,
}

/// How a watch ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// What has changed; nothing if the patience is over.
    Changes(state::Changes),
    /// The changes since that version are not kept.
    HistoryGone,
    /// An outage or a cut began.
    Refused,
}

impl Watch {
    /// Waits until something changed, `patience` is over or the caller's calls are refused.
    pub async fn wait(&self, state: &state::State, patience: time::Duration) -> Outcome {
        let deadline = tokio::time::Instant::now() + patience.min(MAX_PATIENCE);
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

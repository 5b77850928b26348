//! A waiting watch on one object.

use std::time;

use crate::platform::{object, state};

/// Longest patience of a watch.
const MAX_PATIENCE: time::Duration = time::Duration::from_secs(300);
/// Time after which a watch looks again by itself, since a stale read becomes fresh without a write.
const RECHECK: time::Duration = time::Duration::from_millis(100);

/// A watch on one object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Watch {
    /// Name that the caller gives itself.
    pub caller: String,
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Version beyond which the object is newer.
    pub since: u64,
}

/// How a watch ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The object is newer, or was deleted since.
    Newer(object::State),
    /// The patience is over.
    NothingNewer,
    /// An outage or a cut began.
    Refused,
}

impl Watch {
    /// Waits until the object is newer, `patience` is over or the caller's calls are refused.
    pub async fn wait(&self, state: &state::State, patience: time::Duration) -> Outcome {
        let deadline = tokio::time::Instant::now() + patience.min(MAX_PATIENCE);
        let mut changes = state.changes();
        loop {
            changes.mark_unchanged();
            if let Some(outcome) = self.look(state) {
                return outcome;
            }
            if tokio::time::Instant::now() >= deadline {
                return Outcome::NothingNewer;
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep(RECHECK) => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }

    fn look(&self, state: &state::State) -> Option<Outcome> {
        if state.refuses(&self.caller) {
            return Some(Outcome::Refused);
        }
        state
            .get(&self.kind, &self.name)
            .filter(|shown| shown.version > self.since)
            .map(Outcome::Newer)
    }
}

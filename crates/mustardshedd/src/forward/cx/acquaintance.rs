//! What an entry that was just started waits for.

use std::time;

use crate::{
    forward::cx::Cx,
    log::{self, event},
};

/// Interval at which a prompt that came right after the start checks whether it may be placed.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);

impl Cx {
    /// Waits until this entry knows the requests of its peers; returns how long that took.
    pub async fn wait_until_acquainted(&self) -> time::Duration {
        let since = self.now();
        while !self.is_acquainted() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        self.now().saturating_sub(since)
    }

    /// Returns whether this entry knows the requests of its peers, as far as they can be reached; it
    /// does not right after its start.
    #[must_use]
    pub fn is_acquainted(&self) -> bool {
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        if state.acquaintance.is_complete() {
            return true;
        }
        let members = state.view.members();
        let is_listed = !members.is_empty();
        let links = is_listed.then(|| state.relays.links(&self.settings.vm, members, now));
        state.acquaintance.update(links.as_ref(), now);
        if !state.acquaintance.is_complete() {
            return false;
        }
        let (heard, elapsed) = state.acquaintance.heard(now);
        let members = members.len();
        drop(guard);
        log::emit(&event::Event::PeersHeard {
            heard,
            members,
            elapsed_ms: elapsed.as_millis(),
        });
        true
    }
}

//! Crashes that are withdrawn, because their servers prove to have been running all the time.
//!
//! Connections that are refused or reset on the way look like the end of a server. If each entry has
//! lost its path to a server, none can tell; but a server that has ended is no longer listed after a
//! while.

use std::{collections, sync, time};

use mustardshed::core::ids;

use crate::{
    forward::{cx::Cx, view},
    log::{self, event},
};

/// Heartbeats of a server after which the platform no longer lists it if it has ended: three that
/// are missed, and one for the way of the list.
const EXPIRY_HEARTBEATS: u32 = 4;
/// Time in which the list of servers is read anew.
const REFRESH_TIME: time::Duration = time::Duration::from_millis(500);

/// What the list of servers says of crashes.
#[derive(Clone, Copy, Debug)]
struct Evidence<'a> {
    view: &'a view::View,
    /// Time after which a server that has ended is no longer listed.
    expiry: time::Duration,
    now: ids::Timestamp,
}

impl Evidence<'_> {
    fn listed_for(
        &self,
        server: &str,
        started_unix_ms: Option<u64>,
        at: ids::Timestamp,
    ) -> Option<view::ListedFor> {
        let started_unix_ms = started_unix_ms?;
        self.view.listed_for(server, started_unix_ms, at, self.now)
    }

    /// Returns whether a run of a server that seemed to crash at `at` has not ended.
    fn refutes(&self, server: &str, started_unix_ms: Option<u64>, at: ids::Timestamp) -> bool {
        let listed_for = self.listed_for(server, started_unix_ms, at);
        listed_for.is_some_and(|listed_for| listed_for.confirmed >= self.expiry)
    }

    /// Returns whether a more recent list could show that.
    fn is_old(&self, server: &str, started_unix_ms: Option<u64>, at: ids::Timestamp) -> bool {
        let listed_for = self.listed_for(server, started_unix_ms, at);
        listed_for.is_some_and(|listed_for| {
            listed_for.confirmed < self.expiry && listed_for.presumed >= self.expiry
        })
    }
}

impl Cx {
    /// Withdraws the known crashes, as far as the list of servers refutes them, once it can.
    pub(super) fn review_crashes(self: &sync::Arc<Self>) {
        let cx = sync::Arc::clone(self);
        tokio::spawn(async move {
            let Some(expiry) = cx.server_expiry() else {
                return;
            };
            tokio::time::sleep(expiry).await;
            cx.withdraw_crashes();
            tokio::time::sleep(REFRESH_TIME).await;
            cx.withdraw_crashes();
        });
    }

    /// Returns the time until a crash will have been reviewed; none if it was, or never is.
    pub(super) fn time_until_review(&self, crashed_at: ids::Timestamp) -> Option<time::Duration> {
        let reviewed_at = crashed_at + self.server_expiry()? + REFRESH_TIME;
        let left = reviewed_at.checked_sub(self.now());
        left.filter(|left| !left.is_zero())
    }

    /// Returns the time after which a server that has ended is no longer listed, if it is known.
    fn server_expiry(&self) -> Option<time::Duration> {
        let heartbeat = self.settings.server_heartbeat?;
        Some(heartbeat * EXPIRY_HEARTBEATS)
    }

    /// Withdraws the crashes that the list of servers refutes, and has it read anew if it is too old
    /// for some. Returns whether there were any.
    pub(super) fn withdraw_crashes(&self) -> bool {
        let Some(expiry) = self.server_expiry() else {
            return false;
        };
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        let view = &state.view;
        let evidence = Evidence { view, expiry, now };
        let of_requests = state
            .repeated_crashes
            .withdraw(|it| evidence.refutes(&it.server, it.started_unix_ms, it.at));
        let of_parts = state.quarantine.withdraw(
            |it| evidence.refutes(&it.server, it.started_unix_ms, it.at),
            now,
        );
        let is_old = state
            .repeated_crashes
            .crashes()
            .any(|it| evidence.is_old(&it.server, it.started_unix_ms, it.at))
            || state
                .quarantine
                .crashes()
                .any(|it| evidence.is_old(&it.server, it.started_unix_ms, it.at));
        drop(guard);
        if is_old {
            self.servers_refresh.notify_one();
        }
        let of_requests = of_requests.into_iter().map(|it| (it.server, it.at));
        let of_parts = of_parts.into_iter().map(|it| (it.server, it.at));
        let withdrawn: collections::BTreeSet<_> = of_requests.chain(of_parts).collect();
        for (server, at) in &withdrawn {
            log::emit(&event::Event::CrashWithdrawn {
                server,
                after_ms: now.saturating_sub(*at).as_millis(),
            });
        }
        !withdrawn.is_empty()
    }
}

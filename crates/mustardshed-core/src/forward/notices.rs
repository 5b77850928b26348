//! What servers asked for in their responses: no more work because they leave, or none for a while.
//!
//! Notices arrive before the platform lists the change, or take its place where it does not. A
//! notice of leaving holds for the server's current run. A back-off holds for the stated time,
//! which a new connection, a new configuration or an expired list entry does not shorten.

use std::{collections, time};

use crate::{forward::server, ids, mutation};

/// Longest back-off that a server may ask for; longer ones are taken for its mistake and cut.
pub const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(60);
/// How long a notice of leaving is kept for a server that is not listed: longer than any server
/// goes on serving after it has left the list, so that a list entry that expires and returns does
/// not void the notice.
const UNLISTED_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Notices by server.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: collections::HashMap<ids::BackendServerId, LeavingNotice>,
    back_off_until: collections::HashMap<ids::BackendServerId, ids::Timestamp>,
}

/// A server's notice that it leaves.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    /// Start of the run that leaves, if known.
    started_unix_ms: Option<u64>,
    listed_at: ids::Timestamp,
}

impl Notices {
    /// Records that a server's run is leaving; returns whether that is news.
    pub fn record_leaving(
        &mut self,
        server: &str,
        started_unix_ms: Option<u64>,
        now: ids::Timestamp,
    ) -> bool {
        let notice = LeavingNotice {
            started_unix_ms,
            listed_at: now,
        };
        let before = self.leaving.insert(server.to_owned(), notice);
        before.is_none_or(|before| before.started_unix_ms != started_unix_ms)
    }

    /// Records that a server wants no requests for a while; returns how long it is left alone.
    pub fn record_back_off(
        &mut self,
        server: &str,
        wait: time::Duration,
        now: ids::Timestamp,
    ) -> time::Duration {
        let wait = wait.min(MAX_BACK_OFF);
        let until = self.back_off_until.entry(server.to_owned()).or_default();
        if !mutation::on("back_off_ignored") {
            *until = (*until).max(now + wait);
        }
        wait
    }

    /// Returns whether a server has announced that its current run leaves.
    #[must_use]
    pub fn is_leaving(&self, server: &server::Server) -> bool {
        let notice = self.leaving.get(&server.id);
        let notice = notice.filter(|_| !mutation::on("leaving_answer_ignored"));
        notice.is_some_and(|notice| notice.started_unix_ms == server.started_unix_ms)
    }

    /// Returns the remaining back-off of a server, if any.
    #[must_use]
    pub fn back_off_left(&self, server: &str, now: ids::Timestamp) -> Option<time::Duration> {
        let until = self.back_off_until.get(server)?;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns whether a server may be sent a request.
    #[must_use]
    pub fn allows(&self, server: &server::Server, now: ids::Timestamp) -> bool {
        !self.is_leaving(server) && self.back_off_left(&server.id, now).is_none()
    }

    /// Drops notices that no longer apply.
    pub fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now: ids::Timestamp) {
        self.back_off_until.retain(|_, until| now < *until);
        self.leaving.retain(|id, notice| {
            if is_listed(id) {
                notice.listed_at = now;
            }
            now.saturating_sub(notice.listed_at) < UNLISTED_RETENTION
        });
    }
}

//! What servers have asked for in their answers: to be left, or to be left alone for a while.
//!
//! Both are heard before, and at times instead of, what the platform lists. A server that leaves
//! says so for its present run; one that backs callers off names a time, which a new connection, a
//! new configuration or a lapsed entry does not shorten.

use std::{collections, time};

use crate::{forward::server, ids, mutation};

/// Longest time for which a server may back callers off; more is taken for a mistake of its own.
pub const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(60);
/// Time for which a notice of leaving is kept of a server that is not listed: longer than any serves
/// on after it has left the list, so that an entry that lapses and returns does not void it.
const UNLISTED_RETENTION: time::Duration = time::Duration::from_secs(600);

/// Notices by server.
#[derive(Debug, Default)]
pub struct Notices {
    leaving: collections::HashMap<ids::BackendServerId, LeavingNotice>,
    back_off_until: collections::HashMap<ids::BackendServerId, ids::Timestamp>,
}

/// A server that leaves.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    /// Run that leaves, as far as it is known.
    started_unix_ms: Option<u64>,
    listed_at: ids::Timestamp,
}

impl Notices {
    /// Takes that a server's run is leaving; returns whether that is news.
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

    /// Takes that a server wants no request for a while; returns how long that is.
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

    /// Returns whether a server has said that its present run leaves.
    #[must_use]
    pub fn is_leaving(&self, server: &server::Server) -> bool {
        let notice = self.leaving.get(&server.id);
        let notice = notice.filter(|_| !mutation::on("leaving_answer_ignored"));
        notice.is_some_and(|notice| notice.started_unix_ms == server.started_unix_ms)
    }

    /// Returns for how much longer a server wants no request, if it does.
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

    /// Forgets what is over.
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

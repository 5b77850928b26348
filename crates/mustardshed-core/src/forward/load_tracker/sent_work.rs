//! Work that a server was sent, by request.
//!
//! Which of it came after a stream does not depend on the order in which an entry hears of the stream
//! and of the requests: it is told which requests the stream's entry knew of.

use std::time;

use crate::{
    forward::load_tracker::{JobKey, Protection, Work},
    ids,
};

/// Longest time by which entries hear of a request later than others: a link that is silent for longer
/// is opened anew.
const MAX_DELAY: time::Duration = time::Duration::from_millis(1_500);
/// Time for which the work of an ended request is kept: for streams that another entry sends before it
/// hears of the request, and that this entry hears of later still.
const RETENTION: time::Duration = time::Duration::from_millis(3_000);

/// Work that one server was sent.
#[derive(Debug, Default)]
pub(super) struct SentWork {
    sent: Vec<Sent>,
    /// End of the protection of the last protected stream; everything is kept until then.
    kept_until: ids::Timestamp,
}

/// Work of a request.
#[derive(Debug)]
struct Sent {
    key: JobKey,
    work: Work,
    /// Time at which the request arrived at its entry.
    arrived_at: ids::Timestamp,
    ended_at: Option<ids::Timestamp>,
}

impl SentWork {
    /// Records the work of a request in flight.
    pub(super) fn start(&mut self, key: &JobKey, work: Work, arrived_at: ids::Timestamp) {
        self.sent.retain(|sent| sent.key != *key);
        if work != Work::default() {
            self.sent.push(Sent {
                key: key.clone(),
                work,
                arrived_at,
                ended_at: None,
            });
        }
    }

    /// Records the end of a request, and forgets what ended long ago.
    pub(super) fn end(&mut self, key: &JobKey, now: ids::Timestamp) {
        if let Some(sent) = self.sent.iter_mut().find(|sent| sent.key == *key) {
            sent.ended_at = Some(now);
        }
        if now >= self.kept_until {
            let is_old = |at: ids::Timestamp| now.saturating_sub(at) >= RETENTION;
            self.sent.retain(|sent| !sent.ended_at.is_some_and(is_old));
        }
    }

    /// Records the work of a request of which a peer has heard, unless this entry has too.
    pub(super) fn adopt(&mut self, key: &JobKey, work: Work, now: ids::Timestamp) {
        if self.keys().all(|known| known != key) {
            self.start(key, work, now);
            self.end(key, now);
        }
    }

    /// Keeps all work until the protection of a stream ends.
    pub(super) fn protect(&mut self, protection: &Protection) {
        self.kept_until = self.kept_until.max(protection.ends_at);
    }

    /// Returns the requests whose work is known.
    pub(super) fn keys(&self) -> impl Iterator<Item = &JobKey> {
        self.sent.iter().map(|sent| &sent.key)
    }

    /// Returns the requests that the server was sent after a stream that arrived at `arrived_at`, and
    /// their work.
    pub(super) fn later_than(
        &self,
        stream: &JobKey,
        protection: &Protection,
        arrived_at: ids::Timestamp,
    ) -> impl Iterator<Item = (&JobKey, Work)> {
        let later = self.sent.iter().filter(move |sent| {
            let had_ended = sent.ended_at.is_some_and(|at| at + MAX_DELAY < arrived_at);
            let was_known = match &protection.known {
                Some(known) => known.contains(&sent.key),
                None => sent.arrived_at <= arrived_at,
            };
            sent.key != *stream && !had_ended && !was_known
        });
        later.map(|sent| (&sent.key, sent.work))
    }
}

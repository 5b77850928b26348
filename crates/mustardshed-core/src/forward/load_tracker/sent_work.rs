//! Work that a server was sent, by request.
//!
//! Which of it came after a stream does not depend on the order in which an entry hears of the stream
//! and of the requests: it is told which requests the stream's entry knew of.

use std::{collections, time};

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
    sent: collections::HashMap<JobKey, Sent>,
    /// Ended requests with the times of their ends, in this order.
    ended: collections::VecDeque<(ids::Timestamp, JobKey)>,
    /// End of the protection of the last protected stream; everything is kept until then.
    kept_until: ids::Timestamp,
}

/// Work of a request.
#[derive(Clone, Copy, Debug)]
struct Sent {
    work: Work,
    /// Time at which the request arrived at its entry.
    arrived_at: ids::Timestamp,
    ended_at: Option<ids::Timestamp>,
}

impl SentWork {
    /// Records the work of a request in flight.
    pub(super) fn start(&mut self, key: &JobKey, work: Work, arrived_at: ids::Timestamp) {
        if work == Work::default() {
            return;
        }
        let sent = Sent {
            work,
            arrived_at,
            ended_at: None,
        };
        self.sent.insert(key.clone(), sent);
    }

    /// Records the end of a request.
    pub(super) fn end(&mut self, key: &JobKey, now: ids::Timestamp) {
        if let Some(sent) = self.sent.get_mut(key) {
            sent.ended_at = Some(now);
            self.ended.push_back((now, key.clone()));
        }
        self.expire(now);
    }

    /// Records the work of a request of which a peer has heard, unless this entry has too.
    pub(super) fn adopt(&mut self, key: &JobKey, work: Work, now: ids::Timestamp) {
        if !self.sent.contains_key(key) {
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
        self.sent.keys()
    }

    /// Returns the requests that the server was sent after a stream that arrived at `arrived_at`, and
    /// their work.
    pub(super) fn later_than(
        &self,
        stream: &JobKey,
        protection: &Protection,
        arrived_at: ids::Timestamp,
    ) -> impl Iterator<Item = (&JobKey, Work)> {
        let later = self.sent.iter().filter(move |(key, sent)| {
            let had_ended = sent.ended_at.is_some_and(|at| at + MAX_DELAY < arrived_at);
            let was_known = match &protection.known {
                Some(known) => known.contains(key),
                None => sent.arrived_at <= arrived_at,
            };
            *key != stream && !had_ended && !was_known
        });
        later.map(|(key, sent)| (key, sent.work))
    }

    fn expire(&mut self, now: ids::Timestamp) {
        if now < self.kept_until {
            return;
        }
        while let Some((at, key)) = self.ended.front() {
            if now.saturating_sub(*at) < RETENTION {
                return;
            }
            // A request that was told again has not ended, or ended later.
            if self
                .sent
                .get(key)
                .is_some_and(|sent| sent.ended_at == Some(*at))
            {
                self.sent.remove(key);
            }
            self.ended.pop_front();
        }
    }
}

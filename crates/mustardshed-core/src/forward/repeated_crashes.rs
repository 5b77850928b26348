//! Requests that crash a server each time they are repeated.
//!
//! Load pattern addressed: a client repeats a request after the server that was to answer it has
//! crashed, under new identifiers and at any entry, and the next server crashes as well. Such
//! requests need not have anything in common with others, so the
//! [quarantine of prompt parts](super::quarantine) does not find them.
//!
//! All entries tell each other which requests a crashed server had not begun to answer, by
//! fingerprints of their contents. A request under which three servers have crashed is rejected;
//! an answer clears it, whichever entry gets it.

use std::{collections, time};

use crate::ids;

mod crash;
mod fingerprint;

pub use crash::{Attempt, Crash};
pub use fingerprint::Fingerprint;

/// Crashes under a request after which it is rejected.
const MAX_CRASHES_OF_REQUEST: usize = 3;
/// Most crashes that are kept.
const MAX_CRASHES: usize = 2_048;
/// Time for which a request is suspected or rejected after the last crash under it.
const RETENTION: time::Duration = time::Duration::from_secs(600);
/// Reports of a server's end within this time of each other are about one crash; servers take
/// longer to start.
const SAME_CRASH: time::Duration = time::Duration::from_secs(1);
/// Servers that are lost within this time of each other may have a cause outside.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Most time by which a crash seems later than it was: the time to check for it and to report it.
const REPORT_DELAY: time::Duration = time::Duration::from_millis(100);

/// Crashes of servers, by the requests that may have caused them.
#[derive(Debug, Default)]
pub struct RepeatedCrashes {
    crashes: collections::VecDeque<Crash>,
    /// Number of crashes under each request.
    counts: collections::HashMap<Fingerprint, usize>,
}

impl RepeatedCrashes {
    /// Records a crash that this entry or a peer reports. Returns the requests that are rejected
    /// because of it.
    pub fn record_crash(&mut self, crash: Crash, now: ids::Timestamp) -> Vec<Fingerprint> {
        self.expire(now);
        let requests: Vec<Fingerprint> = crash.attempts.iter().map(|it| it.request).collect();
        let before = self.rejected(&requests, now);
        self.insert(crash);
        let mut after = self.rejected(&requests, now);
        after.retain(|request| !before.contains(request));
        after
    }

    /// Records that a server has begun to answer a request, at this entry or a peer. Returns
    /// whether the request was suspected.
    pub fn record_answer(&mut self, request: Fingerprint, at: ids::Timestamp) -> bool {
        self.expire(at);
        if !self.counts.contains_key(&request) {
            return false;
        }
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            crash.clear(request);
        }
        self.crashes.retain(|crash| !crash.attempts.is_empty());
        self.recount();
        true
    }

    /// Removes the crashes for which `is_refuted` returns true, and returns them.
    pub fn withdraw(&mut self, is_refuted: impl Fn(&Crash) -> bool) -> Vec<Crash> {
        if !self.crashes.iter().any(&is_refuted) {
            return Vec::new();
        }
        let crashes = std::mem::take(&mut self.crashes).into_iter();
        let (withdrawn, kept): (Vec<Crash>, _) = crashes.partition(is_refuted);
        self.crashes = kept.into();
        self.recount();
        withdrawn
    }

    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns whether a server has crashed under a request.
    #[must_use]
    pub fn is_suspected(&self, request: Fingerprint) -> bool {
        self.counts.contains_key(&request)
    }

    /// Returns when a server last crashed under a request.
    #[must_use]
    pub fn last_crash(&self, request: Fingerprint) -> Option<ids::Timestamp> {
        self.under(request).map(|crash| crash.at).max()
    }

    /// Returns how much longer a request is rejected, if it is.
    #[must_use]
    pub fn remaining(&self, request: Fingerprint, now: ids::Timestamp) -> Option<time::Duration> {
        let known = self.counts.get(&request)?;
        if *known < MAX_CRASHES_OF_REQUEST {
            return None;
        }
        let is_ever_alone = self.under(request).any(Crash::has_one_suspect);
        let excused = |crash: &&Crash| !is_ever_alone && self.is_explained(crash, request);
        let counted = self.under(request).filter(|crash| !excused(crash));
        let (count, last) = count(request, counted);
        let left = (last + RETENTION).checked_sub(now)?;
        (count >= MAX_CRASHES_OF_REQUEST && !left.is_zero()).then_some(left)
    }

    /// Returns the crashes that are kept.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Removes the crashes under whose requests no server has crashed lately.
    fn expire(&mut self, now: ids::Timestamp) {
        let is_old = |at: ids::Timestamp| now.saturating_sub(at) >= RETENTION;
        if !self.crashes.front().is_some_and(|crash| is_old(crash.at)) {
            return;
        }
        let mut last = collections::HashMap::new();
        for crash in &self.crashes {
            for attempt in &crash.attempts {
                let at = last.entry(attempt.request).or_insert(crash.at);
                *at = crash.at.max(*at);
            }
        }
        self.crashes.retain(|crash| {
            let mut requests = crash.attempts.iter().map(|attempt| attempt.request);
            requests.any(|request| last.get(&request).is_some_and(|at| !is_old(*at)))
        });
        self.recount();
    }

    fn insert(&mut self, crash: Crash) {
        let mut known = self.crashes.iter_mut();
        let is_same = |known: &&mut Crash| {
            known.server == crash.server && known.at.abs_diff(crash.at) < SAME_CRASH
        };
        if let Some(known) = known.find(is_same) {
            known.started_unix_ms = known.started_unix_ms.or(crash.started_unix_ms);
            known.add(crash.attempts);
        } else if !crash.attempts.is_empty() {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            let mut kept = Crash {
                attempts: Vec::new(),
                ..crash
            };
            kept.add(crash.attempts);
            self.crashes.push_back(kept);
        }
        self.recount();
    }

    fn recount(&mut self) {
        self.counts.clear();
        let attempts = self.crashes.iter().flat_map(|crash| &crash.attempts);
        for attempt in attempts {
            *self.counts.entry(attempt.request).or_default() += 1;
        }
    }

    fn rejected(&self, requests: &[Fingerprint], now: ids::Timestamp) -> Vec<Fingerprint> {
        let rejected = requests.iter().copied();
        rejected
            .filter(|request| self.remaining(*request, now).is_some())
            .collect()
    }

    fn under(&self, request: Fingerprint) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| crash.attempt(request).is_some())
    }

    /// Returns whether another request explains a crash: it has crashed as many servers as make it
    /// rejected, at least one of them as the only suspect.
    fn is_explained(&self, crash: &Crash, request: Fingerprint) -> bool {
        let others = crash.attempts.iter().map(|attempt| attempt.request);
        let mut others = others.filter(|other| *other != request);
        others.any(|other| {
            self.counts.get(&other) >= Some(&MAX_CRASHES_OF_REQUEST)
                && self.under(other).any(Crash::has_one_suspect)
                && count(other, self.under(other)).0 >= MAX_CRASHES_OF_REQUEST
        })
    }
}

/// Returns the number of crashes under a request, and when the last one was. Servers that are lost
/// together count once, unless the request was sent to one because another had crashed.
fn count<'a>(
    request: Fingerprint,
    crashes: impl Iterator<Item = &'a Crash>,
) -> (usize, ids::Timestamp) {
    let mut crashes: Vec<&Crash> = crashes.collect();
    crashes.sort_by_key(|crash| crash.at);
    let mut counted = 0;
    let mut last_at = None;
    for crash in crashes {
        let is_apart = last_at.is_none_or(|last| {
            let lasted = crash.attempt(request).and_then(|attempt| attempt.lasted);
            let sent_at = lasted.map(|lasted| crash.at.saturating_sub(lasted));
            crash.at.saturating_sub(last) >= MIN_INTERVAL
                || sent_at.is_none_or(|sent_at| sent_at + REPORT_DELAY >= last)
        });
        if is_apart {
            counted += 1;
            last_at = Some(crash.at);
        }
    }
    (counted, last_at.unwrap_or_default())
}

//! Prompt parts that crash the servers that answer requests with them.
//!
//! Load pattern addressed: requests that have nothing but one part of their prompts in common crash
//! every server that begins to answer them. They come at all entries, and retries spread them over
//! the fleet, while the requests beside them are lost with each server.
//!
//! All entries tell each other which requests a crashed server had not begun to answer. A part is
//! quarantined when servers have crashed under several requests with it and none of its requests
//! has been answered since. An answer clears it, whichever entry gets it.

use std::{collections, time};

use crate::ids;

mod crash;
mod evidence;
mod recent_answers;
mod suspect;

pub use crash::Crash;
pub use suspect::Suspect;

/// Most crashes that are kept.
const MAX_CRASHES: usize = 64;
/// Time for which a crash is kept, and for which a part is quarantined after the last one under it.
const RETENTION: time::Duration = time::Duration::from_secs(600);
/// Most sets of parts in quarantine.
const MAX_CULPRITS: usize = 64;
/// Reports of a server's end within this time of each other are about one crash; servers take
/// longer to start.
const SAME_CRASH: time::Duration = time::Duration::from_secs(1);

/// Crashes of servers, and what is quarantined because of them.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: collections::VecDeque<Crash>,
    culprits: Vec<Culprit>,
    answers: recent_answers::RecentAnswers,
}

/// Prompt parts that crash servers if a request has all of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Culprit {
    /// The parts, usually one.
    pub parts: Vec<ids::PromptPartId>,
    /// When a server last crashed under them.
    pub crashed_at: ids::Timestamp,
}

impl Culprit {
    fn is_in(&self, parts: &[ids::PromptPartId]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}

/// What a report changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    /// Reported parts that this entry knows to be sound, as requests with them have been answered
    /// since; peers are to be told.
    pub sound: Vec<ids::PromptPartId>,
    /// Sets of parts that are now quarantined.
    pub culprits: Vec<Vec<ids::PromptPartId>>,
}

impl Quarantine {
    /// Records a crash that this entry or a peer reports.
    pub fn record_crash(&mut self, mut crash: Crash, now: ids::Timestamp) -> Findings {
        let sound = self.clear_answered(&mut crash);
        self.insert(crash, now);
        let culprits = self.update_culprits(now);
        Findings { sound, culprits }
    }

    /// Records that a server has begun to answer a request with these shared parts. Returns the
    /// parts that were suspected, of which peers are to be told.
    pub fn record_answer(
        &mut self,
        shared: &[ids::PromptPartId],
        now: ids::Timestamp,
    ) -> Vec<ids::PromptPartId> {
        for part in shared {
            self.answers.record(part, now);
        }
        let suspected = shared.iter().filter(|part| self.is_suspected(part));
        let suspected: Vec<ids::PromptPartId> = suspected.cloned().collect();
        self.clear(&suspected, now);
        suspected
    }

    /// Records that a peer got an answer to requests with these parts at `at`.
    pub fn record_peer_answer(&mut self, parts: &[ids::PromptPartId], at: ids::Timestamp) {
        for part in parts {
            self.answers.record(part, at);
        }
        self.clear(parts, at);
    }

    /// Adopts what a peer has quarantined. Returns the parts that are known to be sound.
    pub fn adopt(&mut self, mut culprit: Culprit, now: ids::Timestamp) -> Findings {
        let answers = &self.answers;
        let is_sound = |part: &str| answers.has_since(part, culprit.crashed_at);
        let sound = culprit.parts.iter().filter(|part| is_sound(part));
        let sound: Vec<ids::PromptPartId> = sound.cloned().collect();
        culprit.parts.retain(|part| !sound.contains(part));
        let added = self.add_culprit(culprit, now);
        Findings {
            sound,
            culprits: added.into_iter().collect(),
        }
    }

    /// Removes the crashes for which `is_refuted` returns true, and releases the parts to which the
    /// other crashes do not point. Returns the crashes.
    pub fn withdraw(
        &mut self,
        is_refuted: impl Fn(&Crash) -> bool,
        now: ids::Timestamp,
    ) -> Vec<Crash> {
        if !self.crashes.iter().any(&is_refuted) {
            return Vec::new();
        }
        let crashes = std::mem::take(&mut self.crashes).into_iter();
        let (withdrawn, kept): (Vec<Crash>, _) = crashes.partition(is_refuted);
        self.crashes = kept.into();
        self.culprits.retain(|culprit| {
            let mut withdrawn = withdrawn.iter();
            !withdrawn.any(|crash| crash.is_explained_by(&culprit.parts))
        });
        self.update_culprits(now);
        withdrawn
    }

    /// Returns how much longer a request with these parts is rejected, if it is.
    #[must_use]
    pub fn remaining(
        &self,
        shared: &[ids::PromptPartId],
        now: ids::Timestamp,
    ) -> Option<time::Duration> {
        let left = (self.last_crash(shared)? + RETENTION).checked_sub(now);
        left.filter(|left| !left.is_zero())
    }

    /// Returns when a server last crashed under a request with quarantined parts, if these have some.
    #[must_use]
    pub fn last_crash(&self, shared: &[ids::PromptPartId]) -> Option<ids::Timestamp> {
        let found = self.culprits.iter().filter(|culprit| culprit.is_in(shared));
        found.map(|culprit| culprit.crashed_at).max()
    }

    /// Returns whether a server has crashed under a request with one of these parts, and no request
    /// with it was answered since.
    #[must_use]
    pub fn suspects_any(&self, shared: &[ids::PromptPartId]) -> bool {
        shared.iter().any(|part| self.is_suspected(part))
    }

    /// Returns the crashes that are kept.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Returns what is quarantined.
    #[must_use]
    pub fn culprits(&self) -> &[Culprit] {
        &self.culprits
    }

    /// Removes what has expired.
    pub fn expire(&mut self, now: ids::Timestamp) {
        let is_recent = |at: ids::Timestamp| now.saturating_sub(at) < RETENTION;
        self.crashes.retain(|crash| is_recent(crash.at));
        self.culprits
            .retain(|culprit| is_recent(culprit.crashed_at));
    }

    /// Clears the parts of a reported crash that were answered after it, and returns them.
    fn clear_answered(&self, crash: &mut Crash) -> Vec<ids::PromptPartId> {
        let at = crash.at;
        let parts = crash.suspects.iter().flat_map(|suspect| &suspect.shared);
        let sound = parts.filter(|part| self.answers.has_since(part, at));
        let sound: collections::BTreeSet<ids::PromptPartId> = sound.cloned().collect();
        crash.clear(|part| sound.contains(part));
        sound.into_iter().collect()
    }

    fn insert(&mut self, crash: Crash, now: ids::Timestamp) {
        self.expire(now);
        let is_same = |known: &&mut Crash| {
            known.server == crash.server && known.at.abs_diff(crash.at) < SAME_CRASH
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            known.started_unix_ms = known.started_unix_ms.or(crash.started_unix_ms);
            known.add(crash.suspects);
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let mut kept = Crash {
            suspects: Vec::new(),
            ..crash
        };
        kept.add(crash.suspects);
        self.crashes.push_back(kept);
    }

    fn is_suspected(&self, part: &str) -> bool {
        let crashes = self.crashes.iter().flat_map(|crash| &crash.suspects);
        let mut crashed = crashes.flat_map(|suspect| &suspect.shared);
        let mut culprits = self.culprits.iter().flat_map(|culprit| &culprit.parts);
        crashed.any(|suspected| suspected == part) || culprits.any(|culprit| culprit == part)
    }

    /// Clears parts of what happened before a request with them was answered at `at`.
    fn clear(&mut self, parts: &[ids::PromptPartId], at: ids::Timestamp) {
        if parts.is_empty() {
            return;
        }
        let is_sound = |part: &str| parts.iter().any(|sound| sound == part);
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            crash.clear(is_sound);
        }
        let before = self.culprits.iter_mut().filter(|it| it.crashed_at <= at);
        for culprit in before {
            culprit.parts.retain(|part| !is_sound(part));
        }
        self.culprits.retain(|culprit| !culprit.parts.is_empty());
    }

    fn update_culprits(&mut self, now: ids::Timestamp) -> Vec<Vec<ids::PromptPartId>> {
        for culprit in &mut self.culprits {
            let last = last_crash(&self.crashes, &culprit.parts);
            culprit.crashed_at = culprit.crashed_at.max(last.unwrap_or_default());
        }
        // Further crashes may show that only some parts of a set are to blame.
        let settled = self.culprits.iter().filter(|it| it.parts.len() == 1);
        let settled: Vec<&Culprit> = settled.collect();
        let open = self.crashes.iter().filter(|crash| {
            let mut settled = settled.iter();
            !settled.any(|culprit| crash.is_explained_by(&culprit.parts))
        });
        let found = evidence::find_culprits(&open.collect::<Vec<&Crash>>());
        let mut added = Vec::new();
        for parts in found {
            let crashed_at = last_crash(&self.crashes, &parts).unwrap_or(now);
            added.extend(self.add_culprit(Culprit { parts, crashed_at }, now));
        }
        added
    }

    /// Adds parts to the quarantine, in place of supersets of them; returns them if they are new.
    fn add_culprit(
        &mut self,
        culprit: Culprit,
        now: ids::Timestamp,
    ) -> Option<Vec<ids::PromptPartId>> {
        self.expire(now);
        if culprit.parts.is_empty() {
            return None;
        }
        let known = self.culprits.iter_mut();
        let known = known.filter(|known| known.is_in(&culprit.parts));
        let mut is_known = false;
        for known in known {
            known.crashed_at = known.crashed_at.max(culprit.crashed_at);
            is_known = true;
        }
        if is_known {
            return None;
        }
        self.culprits.retain(|known| !culprit.is_in(&known.parts));
        if self.culprits.len() >= MAX_CULPRITS {
            self.culprits.remove(0);
        }
        let parts = culprit.parts.clone();
        self.culprits.push(culprit);
        Some(parts)
    }
}

/// Returns when a server last crashed under a request with all of these parts.
fn last_crash(
    crashes: &collections::VecDeque<Crash>,
    parts: &[ids::PromptPartId],
) -> Option<ids::Timestamp> {
    let under = crashes.iter().filter(|crash| crash.is_explained_by(parts));
    under.map(|crash| crash.at).max()
}

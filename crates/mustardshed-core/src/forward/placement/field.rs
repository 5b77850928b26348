//! The servers among which a request is placed, with what is known of their load.

use std::{collections, time};

use crate::{
    forward::{
        engine, lateness, ledger,
        placement::{self, Candidate},
        server,
    },
    ids,
};

/// Time for which a chunk that is being read holds up what comes next, in milliseconds.
const CHUNK_MS: f64 = 20.0;
/// Longest time that a pass of writers takes by what is read in it, in milliseconds.
const LONGEST_PASS_MS: f64 = 4_000.0;

/// Servers that may be given work.
pub(super) struct Field<'a> {
    pub(super) spots: Vec<Spot<'a>>,
    pub(super) profile: &'a engine::Profile,
    pub(super) now: ids::Timestamp,
    /// Number of writers of a kind that are kept together on a server.
    pub(super) together: f64,
    /// Price of a place that is taken for a second.
    place_price: f64,
    /// Times after which prompts are read, by request, in milliseconds.
    done_ms: collections::HashMap<&'a ledger::JobKey, f64>,
}

/// A server with what is known of its load.
pub(super) struct Spot<'a> {
    pub(super) server: &'a server::Server,
    pub(super) load: ledger::Load<'a>,
    pub(super) is_near: bool,
    pub(super) bias: f64,
    pub(super) is_cold: bool,
    pub(super) failures: f64,
    pub(super) pace: f64,
    pub(super) backlog_ms: f64,
    pub(super) pass_ms: f64,
}

impl<'a> Field<'a> {
    pub(super) fn new(
        ledger: &'a ledger::Ledger,
        candidates: &[Candidate<'a>],
        profile: &'a engine::Profile,
        now: ids::Timestamp,
    ) -> Self {
        let spots = candidates
            .iter()
            .filter(|candidate| placement::takes_work(ledger, candidate, now))
            .map(|candidate| Spot::new(ledger, candidate, profile, now));
        let spots: Vec<Spot<'a>> = spots.collect();
        let mut done_ms: collections::HashMap<&ledger::JobKey, f64> = collections::HashMap::new();
        for reading in spots.iter().flat_map(|spot| &spot.load.readings) {
            let done = done_ms.entry(reading.key).or_default();
            *done = done.max(reading.done_ms);
        }
        let place_price = place_price(&spots, profile);
        let together = together(&spots, profile);
        Self {
            spots,
            profile,
            now,
            together,
            place_price,
            done_ms,
        }
    }

    /// Returns the time after which an average server has nothing to read.
    pub(super) fn usual_backlog(&self) -> time::Duration {
        let backlogs: f64 = self.spots.iter().map(|spot| spot.backlog_ms).sum();
        let usual = backlogs / placement::count_f64(self.spots.len()).max(1.0);
        engine::millis(usual).max(placement::LEAST_RETRY_AFTER)
    }

    /// Returns the price of what a server's other requests lose if it reads another part first.
    pub(super) fn harm(&self, spot: &Spot<'_>, part_ms: f64) -> f64 {
        let before = spot.pause_ms();
        let after = before + part_ms;
        let pauses = spot.load.writers.iter().map(|job| {
            let lost = lateness::loss_by_pause(after, job.gap_ms)
                - lateness::loss_by_pause(before, job.gap_ms);
            job.value * lost
        });
        let waits = spot.load.readings.iter().map(|reading| {
            let known = self.done_ms.get(reading.key).copied().unwrap_or_default();
            let delayed = known.max(reading.done_ms + part_ms);
            reading.job.loss(delayed, self.now) - reading.job.loss(known, self.now)
        });
        // Whoever writes keeps its place for as much longer.
        let places = placement::count_f64(spot.load.writers.len()) * part_ms / 1_000.0;
        pauses.sum::<f64>() + waits.sum::<f64>() + places * self.place_price
    }
}

/// Returns how many writers of a kind are kept together on a server, so that they leave others free
/// to read and yet wait for each other's prompts as little as can be.
fn together(spots: &[Spot<'_>], profile: &engine::Profile) -> f64 {
    let homes: usize = spots.iter().map(|spot| spot.load.homes.len()).sum();
    let writing = placement::count_f64(spots.len()) - placement::FREE_TO_READ;
    let most = f64::from(profile.slots.max(1)) * placement::PACKED_SHARE;
    let needed = (placement::count_f64(homes) + 1.0) / writing.max(1.0);
    needed.clamp(placement::LEAST_TOGETHER.min(most), most)
}

/// Returns the price of a place for a second: nothing while there are many.
fn place_price(spots: &[Spot<'_>], profile: &engine::Profile) -> f64 {
    /// Taken part of all places from which on they are scarce.
    const SCARCE_FROM: f64 = 0.35;
    /// Taken part of all places at which the next request may find none.
    const NONE_LEFT_FROM: f64 = 0.75;
    /// Price where none may be left: a short request takes a place for about two seconds.
    const SCARCE_PRICE: f64 = 0.7;
    let places = placement::count_f64(spots.len()) * f64::from(profile.slots);
    let taken: usize = spots.iter().map(|spot| spot.load.homes.len()).sum();
    let taken = placement::count_f64(taken) / places.max(1.0);
    let scarcity = (taken - SCARCE_FROM) / (NONE_LEFT_FROM - SCARCE_FROM);
    scarcity.clamp(0.0, 1.0) * SCARCE_PRICE
}

impl<'a> Spot<'a> {
    fn new(
        ledger: &'a ledger::Ledger,
        candidate: &Candidate<'a>,
        profile: &engine::Profile,
        now: ids::Timestamp,
    ) -> Self {
        let server = candidate.server;
        let load = ledger.load(&server.id, now);
        let health = ledger.health(&server.id);
        let pass_ms = profile.pass_ms(load.writers.len(), load.context_tokens) * health.pace();
        Self {
            server,
            is_near: candidate.is_near,
            bias: candidate.bias,
            is_cold: health.is_cold(now),
            failures: health.failures(now),
            pace: health.pace(),
            backlog_ms: load.backlog_ms(),
            pass_ms,
            load,
        }
    }

    /// Returns the longest pause of its writers, in milliseconds.
    pub(super) fn pause_ms(&self) -> f64 {
        self.pass_ms + self.backlog_ms.min(LONGEST_PASS_MS)
    }

    /// Returns the time until the server looks at what is new, in milliseconds.
    pub(super) fn wait_ms(&self) -> f64 {
        if self.load.writers.is_empty() {
            return self.backlog_ms.min(CHUNK_MS);
        }
        self.pause_ms() / 2.0
    }

    /// Returns the time after which it has read something new that it reads at once, in
    /// milliseconds; where somebody writes, the pass in which it is read must end.
    pub(super) fn done_ms(&self, part_ms: f64) -> f64 {
        let pass = if self.load.writers.is_empty() {
            0.0
        } else {
            self.pass_ms
        };
        self.wait_ms() + part_ms + pass
    }

    /// Returns the tokens for which it has room.
    pub(super) fn room(&self, profile: &engine::Profile) -> ids::Tokens {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a memory's size is one, too"
        )]
        let size =
            (engine::tokens_f64(profile.memory_tokens) * placement::MEMORY_SHARE) as ids::Tokens;
        size.saturating_sub(self.load.memory_tokens)
    }

    /// Returns whether it may read a part of another server's prompt.
    pub(super) fn may_help(&self, profile: &engine::Profile) -> bool {
        self.load.parts < usize::try_from(profile.slots).unwrap_or(usize::MAX)
    }

    /// Returns whether it has a place for one more request.
    pub(super) fn has_place(&self, profile: &engine::Profile) -> bool {
        let slots = profile.slots.min(self.server.slots.max(1));
        self.load.homes.len() < usize::try_from(slots).unwrap_or(usize::MAX)
    }
}

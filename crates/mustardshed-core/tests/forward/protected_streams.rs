//! Entries that hear of a protected stream, and of what its server is sent beside it, in different
//! orders.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{
    forward::{load_tracker, placement},
    ids,
};
use proptest::prelude::*;

use crate::fixtures;

const SERVER: &str = "engine-00";
/// Entries that send requests; the first one is being stopped.
const ENTRIES: usize = 3;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// What an entry tells all others.
#[derive(Clone, Debug)]
enum Fact {
    Started(load_tracker::JobKey, Box<load_tracker::Job>),
    Ended(load_tracker::JobKey),
}

fn key(entry: usize, number: usize) -> load_tracker::JobKey {
    load_tracker::JobKey {
        vm: format!("entry-{entry}"),
        number: u64::try_from(number).expect("a number"),
    }
}

fn prompt(now: ids::Timestamp) -> load_tracker::Job {
    let need = fixtures::long_request(50_000, now);
    let mut job = placement::Placed::plain(&SERVER.to_owned()).job(&need);
    job.shard_ms = 200.0;
    job
}

fn protected_stream(now: ids::Timestamp) -> load_tracker::Job {
    load_tracker::Job {
        protection: Some(load_tracker::Protection {
            ends_at: now + ms(4_000),
            spare: ms(2_000),
            known: None,
        }),
        ..prompt(now)
    }
}

fn hear(tracker: &mut load_tracker::LoadTracker, fact: &Fact, now: ids::Timestamp) {
    match fact {
        Fact::Started(key, job) => tracker.start(key.clone(), (**job).clone(), now),
        Fact::Ended(key) => tracker.end(key, now),
    }
}

/// Tells an entry that links anew of the stream.
fn greet(
    owner: &load_tracker::LoadTracker,
    stream: &(load_tracker::JobKey, load_tracker::Job),
    to: &mut load_tracker::LoadTracker,
    now: ids::Timestamp,
) {
    to.remove_entry(&stream.0.vm, now);
    to.start(stream.0.clone(), stream.1.clone(), now);
    for later in owner.later_work(&stream.0) {
        to.adopt(&later, now);
    }
}

fn later(
    tracker: &load_tracker::LoadTracker,
    stream: &load_tracker::JobKey,
) -> collections::BTreeSet<load_tracker::JobKey> {
    let later = tracker.later_work(stream).into_iter();
    later.map(|later| later.key).collect()
}

/// Returns the facts of each entry in the order in which it tells them: pairs of a start and an end.
fn facts(counts: &[usize], open: &[bool], now: ids::Timestamp) -> Vec<Vec<Fact>> {
    let entries = counts.iter().zip(open).enumerate();
    let facts = entries.map(|(entry, (count, open))| {
        let jobs = (0..*count).flat_map(|number| {
            let key = key(entry, number);
            let job = Box::new(prompt(now));
            [Fact::Started(key.clone(), job), Fact::Ended(key)]
        });
        let mut facts: Vec<Fact> = jobs.collect();
        if *open {
            facts.pop();
        }
        facts
    });
    facts.collect()
}

/// Merges the facts in an order that `picks` chooses; each entry's own order is kept.
fn merged(facts: &[Vec<Fact>], picks: &[usize]) -> Vec<Fact> {
    let mut left: Vec<collections::VecDeque<Fact>> =
        facts.iter().cloned().map(Into::into).collect();
    let mut picks = picks.iter().cycle();
    let mut merged = Vec::new();
    while left.iter().any(|facts| !facts.is_empty()) {
        let pick = picks.next().copied().unwrap_or_default();
        let open = left.iter_mut().filter(|facts| !facts.is_empty());
        let mut open: Vec<_> = open.collect();
        let count = open.len();
        merged.extend(open[pick % count].pop_front());
    }
    merged
}

fn picks() -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(0..60_usize, 24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    // Guards against streams that are cut as two entries which know the same requests reckon with
    // different spare times of their server (LOST).
    #[test]
    fn entries_that_know_the_same_requests_agree_on_what_came_after_a_stream(
        counts in proptest::collection::vec(0..5_usize, ENTRIES),
        open in proptest::collection::vec(proptest::bool::ANY, ENTRIES),
        heard_before in 0..20_usize,
        (by_owner, by_other) in (picks(), picks()),
        stream_heard_at in 0..30_usize,
        relinked_at in proptest::option::of(0..30_usize),
    ) {
        let start = fixtures::START;
        let at = |index: usize| start + ms(10 * u64::try_from(index).expect("an index"));
        let facts = facts(&counts, &open, start);
        let mut owner = load_tracker::LoadTracker::default();
        let mut stream = None;
        let by_owner = merged(&facts, &by_owner);
        let sent_at = heard_before.min(by_owner.len());
        for (i, fact) in by_owner.iter().enumerate() {
            if i == sent_at {
                stream = Some(owner.send(&key(0, 99), protected_stream(at(i)), at(i)));
            }
            hear(&mut owner, fact, at(i));
        }
        let stream = stream.unwrap_or_else(|| {
            owner.send(&key(0, 99), protected_stream(at(sent_at)), at(sent_at))
        });
        let stream = (key(0, 99), stream);

        let mut other = load_tracker::LoadTracker::default();
        let by_other = merged(&facts, &by_other);
        let heard_at = stream_heard_at.min(by_other.len());
        for (i, fact) in by_other.iter().enumerate() {
            if i == heard_at {
                other.start(stream.0.clone(), stream.1.clone(), at(i));
            }
            hear(&mut other, fact, at(i));
            if relinked_at == Some(i) {
                let own = other.jobs_of(&stream.0.vm);
                let own: Vec<_> = own.map(|(key, job)| (key.clone(), job.clone())).collect();
                greet(&owner, &stream, &mut other, at(i));
                for (key, job) in own {
                    other.start(key, job, at(i));
                }
            }
        }
        if heard_at == by_other.len() {
            other.start(stream.0.clone(), stream.1.clone(), at(heard_at));
        }

        prop_assert_eq!(later(&other, &stream.0), later(&owner, &stream.0));
    }

    // Guards against an entry that links anew and spends the spare time of a stream's server once more
    // (LOST).
    #[test]
    fn entry_that_links_anew_knows_what_the_server_was_sent(
        counts in proptest::collection::vec(0..5_usize, ENTRIES),
        open in proptest::collection::vec(proptest::bool::ANY, ENTRIES),
        by_owner in picks(),
        stream_first in proptest::bool::ANY,
    ) {
        let now = fixtures::START;
        let facts = facts(&counts, &open, now);
        let mut owner = load_tracker::LoadTracker::default();
        let stream = (key(0, 99), owner.send(&key(0, 99), protected_stream(now), now));
        for fact in merged(&facts, &by_owner) {
            hear(&mut owner, &fact, now + ms(10));
        }
        let linked_at = now + ms(2_600);
        let mut anew = load_tracker::LoadTracker::default();

        if stream_first {
            greet(&owner, &stream, &mut anew, linked_at);
        }
        let in_flight = owner.jobs().filter(|(key, _)| **key != stream.0);
        for (key, job) in in_flight {
            anew.start(key.clone(), job.clone(), linked_at);
        }
        if !stream_first {
            greet(&owner, &stream, &mut anew, linked_at);
            let own = owner.jobs_of(&stream.0.vm).filter(|(key, _)| **key != stream.0);
            for (key, job) in own {
                anew.start(key.clone(), job.clone(), linked_at);
            }
        }

        let profile = fixtures::profile();
        let left = |tracker: &load_tracker::LoadTracker| tracker.spare_left(&stream.0, &profile);
        prop_assert_eq!(later(&anew, &stream.0), later(&owner, &stream.0));
        prop_assert!(left(&anew).abs_diff(left(&owner)) < ms(1));
    }
}

// The spare time of the stream takes account of what its entry knew.
#[gtest]
fn request_that_was_known_when_the_stream_was_sent_does_not_count_again() -> Result<()> {
    let now = fixtures::START;
    let mut tracker = load_tracker::LoadTracker::default();
    tracker.start(key(1, 1), prompt(now), now);
    tracker.send(&key(0, 99), protected_stream(now), now);

    tracker.end(&key(1, 1), now + ms(100));
    tracker.start(key(1, 2), prompt(now), now + ms(200));

    let expected = collections::BTreeSet::from([key(1, 2)]);
    verify_that!(later(&tracker, &key(0, 99)), eq(&expected))
}

// An entry of an earlier build does not tell which requests it knew.
#[gtest]
fn requests_that_arrived_after_a_stream_of_an_earlier_build_count_as_later() -> Result<()> {
    let now = fixtures::START;
    let mut tracker = load_tracker::LoadTracker::default();

    tracker.start(key(1, 1), prompt(now - ms(100)), now);
    tracker.start(key(1, 2), prompt(now + ms(100)), now);
    tracker.start(key(0, 99), protected_stream(now), now);

    let expected = collections::BTreeSet::from([key(1, 2)]);
    verify_that!(later(&tracker, &key(0, 99)), eq(&expected))
}

// Bounds what is kept of a fleet without planned stops.
#[gtest]
fn work_of_ended_requests_is_forgotten() -> Result<()> {
    let now = fixtures::START;
    let mut tracker = load_tracker::LoadTracker::default();
    tracker.start(key(1, 1), prompt(now), now);
    tracker.end(&key(1, 1), now);

    tracker.start(key(1, 2), prompt(now), now + ms(10_000));
    tracker.end(&key(1, 2), now + ms(10_000));
    let stream = tracker.send(&key(0, 99), protected_stream(now), now + ms(10_000));

    let known = stream.protection.and_then(|protection| protection.known);
    verify_that!(known, some(eq(&collections::BTreeSet::from([key(1, 2)]))))
}

//! Promise 2 for gangs: they neither deadlock nor starve behind small requests.

use std::time;

use proptest::{
    prelude::{Strategy, prop_oneof},
    strategy::BoxedStrategy,
};

use super::{
    fleet::{self, ENTRIES},
    step::{self, Load, Step},
    storm,
};

/// Number of engines, three in each data centre.
const ENGINES: usize = 6;
/// Timeout of a gang.
const TIMEOUT_MS: u64 = 240_000;
/// Longest duration of the work of a request.
const MAX_DURATION_MS: u64 = 5000;
/// Time within which all submitted requests end.
const ALL_ENDED_WITHIN: time::Duration = time::Duration::from_millis(TIMEOUT_MS);

/// Interval between checks whether all requests have ended.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Interval between two rounds of requests that fill whole engines.
const ROUND_MS: u64 = 1500;

/// Gangs and other requests compete for the same engines, without faults.
#[derive(Clone, Debug)]
struct Gangs;

impl storm::Promise for Gangs {
    fn fleet() -> fleet::Fleet {
        fleet::Fleet::sized(ENTRIES, ENGINES, ENGINES)
    }

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            3 => step::wait(),
            4 => singles(),
            2 => gang(),
            1 => gang_among_large(),
        ]
        .boxed()
    }

    fn check(fleet: &fleet::Fleet) {
        let is_refused = |(_, end, _): &&(_, fleet::GangEnd, _)| *end != fleet::GangEnd::Completed;
        let refused: Vec<_> = fleet.gang_ends.iter().filter(is_refused).collect();
        assert!(refused.is_empty(), "gangs that did not run: {refused:?}");
    }

    fn finish(mut fleet: fleet::Fleet) {
        let until = fleet.now + ALL_ENDED_WITHIN;
        while !fleet.is_idle() && fleet.now < until {
            fleet.advance(CHECK_INTERVAL);
        }
        Self::check(&fleet);
        let waiting = fleet.waiting_gangs();
        assert!(waiting.is_empty(), "gangs that still wait: {waiting:?}");
        for (server, engine) in &fleet.engines {
            assert!(engine.held.is_empty(), "{server} holds {:?}", engine.held);
        }
    }
}

fn singles() -> BoxedStrategy<Step> {
    (
        0..ENTRIES,
        1..12_usize,
        0..ENGINES,
        50_u64..600,
        100..MAX_DURATION_MS,
    )
        .prop_map(|(first_entry, count, server, tokens, duration_ms)| {
            Step::Submit(Load {
                first_entry,
                count,
                server,
                tokens,
                duration_ms,
                is_reservation: false,
            })
        })
        .boxed()
}

/// A prompt that needs two or three engines.
fn gang() -> BoxedStrategy<Step> {
    (0..ENTRIES, 1001_u64..3000, 100..MAX_DURATION_MS)
        .prop_map(|(entry, tokens, duration_ms)| {
            Step::SubmitGang(entry, tokens, duration_ms, TIMEOUT_MS)
        })
        .boxed()
}

/// A gang, and for a while requests for the whole memory of every engine, more than they can
/// serve.
fn gang_among_large() -> BoxedStrategy<Step> {
    (gang(), 6..16_usize, 500..MAX_DURATION_MS)
        .prop_map(|(gang, rounds, duration_ms)| {
            let mut steps = vec![all_engines(duration_ms), Step::Wait(ROUND_MS), gang];
            for _ in 0..rounds {
                steps.extend([all_engines(duration_ms), Step::Wait(ROUND_MS)]);
            }
            Step::Script(steps)
        })
        .boxed()
}

/// Requests for the whole memory of every engine, from two entries each.
fn all_engines(duration_ms: u64) -> Step {
    let loads = (0..ENGINES).map(|server| {
        Step::Submit(Load {
            first_entry: server,
            count: 2,
            server,
            tokens: fleet::MEMORY_TOKENS,
            duration_ms,
            is_reservation: false,
        })
    });
    Step::Script(loads.collect())
}

#[test]
fn promise_2_gangs_get_their_engines() {
    storm::run::<Gangs>();
}

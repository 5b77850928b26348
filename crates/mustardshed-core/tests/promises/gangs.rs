//! Promise 2 for gangs: they neither block one another for good nor starve behind small work.

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

/// Engines, three in each data centre.
const ENGINES: usize = 6;
/// Patience of a gang.
const PATIENCE_MS: u64 = 240_000;
/// Longest work.
const LONGEST_MS: u64 = 5000;
/// Time in which all that was submitted ends.
const ALL_OVER_WITHIN: time::Duration = time::Duration::from_millis(PATIENCE_MS);

/// Wait between looks at whether all is over.
const LOOK_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Time between two rounds of work for whole engines.
const ROUND_MS: u64 = 1500;

/// Gangs and other work contend for the same engines, without faults.
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
        let until = fleet.now + ALL_OVER_WITHIN;
        while !fleet.is_idle() && fleet.now < until {
            fleet.advance(LOOK_INTERVAL);
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
        100..LONGEST_MS,
    )
        .prop_map(|(first_entry, count, server, tokens, lasts_ms)| {
            Step::Submit(Load {
                first_entry,
                count,
                server,
                tokens,
                lasts_ms,
                is_reservation: false,
            })
        })
        .boxed()
}

/// A prompt for two or three engines.
fn gang() -> BoxedStrategy<Step> {
    (0..ENTRIES, 1001_u64..3000, 100..LONGEST_MS)
        .prop_map(|(entry, tokens, lasts_ms)| {
            Step::SubmitGang(entry, tokens, lasts_ms, PATIENCE_MS)
        })
        .boxed()
}

/// A gang, and for a while work for the whole memory of every engine, more than they get done.
fn gang_among_large() -> BoxedStrategy<Step> {
    (gang(), 6..16_usize, 500..LONGEST_MS)
        .prop_map(|(gang, rounds, lasts_ms)| {
            let mut steps = vec![all_engines(lasts_ms), Step::Wait(ROUND_MS), gang];
            for _ in 0..rounds {
                steps.extend([all_engines(lasts_ms), Step::Wait(ROUND_MS)]);
            }
            Step::Script(steps)
        })
        .boxed()
}

/// Work for the whole memory of every engine, from two entries each.
fn all_engines(lasts_ms: u64) -> Step {
    let loads = (0..ENGINES).map(|server| {
        Step::Submit(Load {
            first_entry: server,
            count: 2,
            server,
            tokens: fleet::MEMORY_TOKENS,
            lasts_ms,
            is_reservation: false,
        })
    });
    Step::Script(loads.collect())
}

#[test]
fn promise_2_gangs_get_their_engines() {
    storm::run::<Gangs>();
}

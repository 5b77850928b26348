//! Promise 9: a planned stop neither aborts nor rejects requests.

use proptest::{
    prelude::{Just, Strategy, any, prop_oneof},
    strategy::{BoxedStrategy, Union},
};

use super::{
    fleet::{self, ENTRIES, SERVERS},
    step::{self, Load, Step},
    storm,
};

/// Range of the age of a list when callers use it shortly before it expires, in milliseconds.
const LATE_CALLS_MS: [u64; 2] = [9000, 9980];

/// Promise 9: a planned stop aborts no request, and rejects none while the list of entries by
/// which it was sent is valid.
#[derive(Clone, Debug)]
struct PlannedStop;

impl storm::Promise for PlannedStop {
    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            3 => step::wait(),
            3 => step::submit(),
            2 => entry().prop_map(Step::Leave),
            2 => entry().prop_map(Step::Start),
            1 => entry().prop_map(Step::Kill),
            1 => step::server_fault(),
            2 => entry().prop_map(Step::AskForEntries),
            2 => load().prop_map(Step::CallListed),
            3 => list_of_leaving(),
            1 => step::platform_fault(),
        ]
        .boxed()
    }

    fn check(fleet: &fleet::Fleet) {
        let callers = &fleet.callers;
        assert!(callers.cut_off.is_empty(), "{:?}", callers.cut_off);
        assert!(callers.rejected.is_empty(), "{:?}", callers.rejected);
    }
}

fn entry() -> std::ops::Range<usize> {
    0..ENTRIES
}

fn load() -> BoxedStrategy<Load> {
    (0..SERVERS, 1000_u64..40_000)
        .prop_map(|(server, duration_ms)| Load {
            first_entry: 0,
            count: 1,
            server,
            tokens: 1,
            duration_ms,
            is_reservation: false,
        })
        .boxed()
}

/// Faults that keep others from hearing that an entry is leaving.
fn propagation_faults(entry: usize, asked: usize) -> BoxedStrategy<Vec<Step>> {
    Union::new([
        Just(Vec::new()).boxed(),
        Just(vec![Step::Cut(entry, asked, true)]).boxed(),
        Just(vec![Step::Partition(entry)]).boxed(),
        Just(vec![Step::Partition(entry), Step::Kill(asked)]).boxed(),
    ])
    .boxed()
}

/// An entry that leaves, a list got from another entry meanwhile, and calls just before the list
/// expires.
fn list_of_leaving() -> BoxedStrategy<Step> {
    let entries = (0..ENTRIES, 1..ENTRIES).prop_map(|(entry, by)| (entry, (entry + by) % ENTRIES));
    entries
        .prop_flat_map(|(entry, asked)| {
            (
                propagation_faults(entry, asked),
                Just((entry, asked)),
                0_u64..3500,
                load(),
                LATE_CALLS_MS[0]..LATE_CALLS_MS[1],
                any::<bool>(),
            )
        })
        .prop_map(|(mut steps, (entry, asked), before, load, late, mends)| {
            steps.extend([
                Step::Leave(entry),
                Step::Wait(before),
                Step::Start(asked),
                Step::Wait(650),
                Step::AskForEntries(asked),
                Step::CallListed(load.clone()),
            ]);
            steps.extend(mends.then_some(Step::Mend));
            steps.extend([Step::Wait(late), Step::CallListed(load), Step::Mend]);
            Step::Script(steps)
        })
        .boxed()
}

#[test]
fn promise_9_planned_stop_cuts_off_nothing() {
    storm::run::<PlannedStop>();
}

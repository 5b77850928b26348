//! Any entry tells callers the true fate of their requests.

use proptest::{
    prelude::{Strategy, any, prop_oneof},
    strategy::BoxedStrategy,
};

use super::{
    fleet::{self, ENTRIES},
    step::{self, Step},
    storm,
};

/// Number of latest requests among which queries choose.
const LATEST: usize = 24;

/// What an entry answers about a request is true, and the answer of a live, reachable owner comes.
#[derive(Clone, Debug)]
struct TrueFates;

impl storm::Promise for TrueFates {
    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            3 => step::wait(),
            3 => step::submit(),
            5 => ask(),
            2 => step::entry_fault(),
            1 => step::server_fault(),
            3 => restarted(),
            2 => frozen(),
        ]
        .boxed()
    }

    fn check(fleet: &fleet::Fleet) {
        assert!(
            fleet.fates.wrong_answers.is_empty(),
            "{:?}",
            fleet.fates.wrong_answers
        );
        let unanswered = fleet.unanswered();
        assert!(unanswered.is_empty(), "never answered: {unanswered:?}");
    }
}

fn ask() -> BoxedStrategy<Step> {
    (0..ENTRIES, 0..LATEST)
        .prop_map(|(entry, back)| Step::AskFate(entry, back))
        .boxed()
}

/// The same query to every entry at once.
fn ask_all(back: usize) -> Step {
    Step::Script(
        (0..ENTRIES)
            .map(|entry| Step::AskFate(entry, back))
            .collect(),
    )
}

/// A process that is killed and usually restarted, and queries to it and about it right after.
fn restarted() -> BoxedStrategy<Step> {
    let waits = (0_u64..600, 0_u64..800);
    (0..ENTRIES, step::submit(), 0..LATEST, waits, any::<bool>())
        .prop_map(|(entry, submit, back, (before, after), starts)| {
            let mut steps = vec![submit, Step::Wait(before), Step::Kill(entry)];
            steps.extend(starts.then_some(Step::Start(entry)));
            steps.extend([
                Step::Wait(after),
                ask_all(back),
                Step::Wait(after),
                ask_all(back),
            ]);
            steps.push(Step::Start(entry));
            Step::Script(steps)
        })
        .boxed()
}

/// A process that is frozen, and queries about its requests meanwhile and afterwards.
fn frozen() -> BoxedStrategy<Step> {
    let waits = (0_u64..1500, 0_u64..5000);
    (0..ENTRIES, step::submit(), 0..LATEST, waits)
        .prop_map(|(entry, submit, back, (before, after))| {
            Step::Script(vec![
                submit,
                Step::Wait(before),
                Step::Freeze(entry),
                ask_all(back),
                Step::Wait(after),
                ask_all(back),
                Step::Thaw(entry),
                ask_all(back),
                Step::Wait(after),
            ])
        })
        .boxed()
}

#[test]
fn fates_told_are_true() {
    storm::run::<TrueFates>();
}

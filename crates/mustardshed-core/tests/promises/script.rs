//! Scripts of several steps, for combinations of faults that are rare in random steps.

use proptest::{
    prelude::{Strategy, any, prop_oneof},
    strategy::BoxedStrategy,
};

use super::{
    fleet::{self, DATA_CENTRES, ENTRIES, SERVERS},
    step::{Fault, Load, Step},
};

/// Small requests on one server from every entry at once.
fn from_all_entries(server: usize, duration_ms: u64) -> Step {
    Step::Submit(Load {
        first_entry: 0,
        count: 2 * ENTRIES,
        server,
        tokens: 1,
        duration_ms,
        is_reservation: false,
    })
}

/// Small requests on every server from one entry.
fn on_all_servers(entry: usize) -> Step {
    let loads = (0..SERVERS).map(|server| {
        Step::Submit(Load {
            first_entry: entry,
            count: 1,
            server,
            tokens: 1,
            duration_ms: 100,
            is_reservation: false,
        })
    });
    Step::Script(loads.collect())
}

/// A change of a server's steward during work on the server.
pub fn handover() -> BoxedStrategy<Step> {
    let fault = proptest::sample::select(vec![
        Fault::Kill,
        Fault::Freeze,
        Fault::Isolate,
        Fault::Partition,
        Fault::Leave,
    ]);
    let waits = (1_u64..400, prop_oneof![1_u64..1500, 5000_u64..12_000]);
    (0..SERVERS, fault, waits, any::<bool>())
        .prop_map(|(server, fault, (before, after), is_mended)| {
            let mut steps = vec![
                from_all_entries(server, 20_000),
                Step::Wait(before),
                Step::Steward(server, fault),
                Step::Wait(after),
                from_all_entries(server, 20_000),
            ];
            if is_mended {
                steps.extend([
                    Step::Wait(300),
                    Step::Mend,
                    from_all_entries(server, 20_000),
                ]);
                steps.extend((0..ENTRIES).map(Step::Thaw));
            }
            Step::Script(steps)
        })
        .boxed()
}

/// Delayed messages to one entry while work is placed.
pub fn slow_links() -> BoxedStrategy<Step> {
    (0..ENTRIES, 0_u64..6000, 0..SERVERS, 0_u64..6000)
        .prop_map(|(entry, ms, server, after)| {
            Step::Script(vec![
                Step::Slow(entry, ms),
                from_all_entries(server, 20_000),
                Step::Wait(after),
                from_all_entries(server, 20_000),
            ])
        })
        .boxed()
}

/// An entry that cannot hear of a change that takes a data centre out of service, and requests
/// from it on all servers for a while after.
pub fn missed_change() -> BoxedStrategy<Step> {
    let faults = prop_oneof![
        (0..ENTRIES).prop_map(|entry| (entry, vec![Step::Isolate(entry)])),
        (0..ENTRIES).prop_map(|entry| (entry, vec![Step::Freeze(entry)])),
        (0..ENTRIES, 0_u64..9000).prop_map(|(entry, ms)| {
            (entry, vec![Step::Slow(entry, ms), Step::CutPlatform(entry)])
        }),
        (0..ENTRIES).prop_map(|entry| (entry, vec![Step::CutOperator(entry)])),
        (0..ENTRIES).prop_map(|entry| (entry, vec![Step::CutPlatform(entry)])),
    ];
    let restarts = proptest::collection::vec(0..ENTRIES, 0..3);
    let freeze = proptest::option::of(0..ENTRIES);
    (
        faults,
        change_out(),
        restarts,
        freeze,
        0_u64..4000,
        2000_u64..7000,
    )
        .prop_map(
            |((entry, mut steps), change, restarts, frozen, before, after)| {
                steps.extend([Step::Wait(before), on_all_servers(entry)]);
                steps.push(Step::Operate(vec![change]));
                let restarts = restarts.into_iter().filter(|other| *other != entry);
                steps.extend(restarts.flat_map(|other| [Step::Kill(other), Step::Start(other)]));
                steps.extend(frozen.filter(|other| *other != entry).map(Step::Freeze));
                steps.push(Step::Wait(after));
                steps.push(Step::Thaw(entry));
                for _ in 0..6 {
                    steps.extend([on_all_servers(entry), Step::Wait(500)]);
                }
                steps.extend([Step::Mend, Step::Outage(false)]);
                steps.extend((0..ENTRIES).map(Step::Thaw));
                Step::Script(steps)
            },
        )
        .boxed()
}

fn change_out() -> BoxedStrategy<fleet::Change> {
    (0..DATA_CENTRES.len(), any::<bool>(), any::<bool>())
        .prop_map(|(data_centre, then_outage, sends_commit)| fleet::Change {
            data_centre: DATA_CENTRES[data_centre].into(),
            is_out: true,
            then_outage,
            sends_commit,
        })
        .boxed()
}

/// Streams that break while the engine goes on with the work, and more requests at once.
pub fn broken_streams() -> BoxedStrategy<Step> {
    (0..SERVERS, 1_u64..2500)
        .prop_map(|(server, before)| {
            Step::Script(vec![
                from_all_entries(server, 20_000),
                Step::Wait(before),
                Step::BreakStreams(server),
                from_all_entries(server, 20_000),
            ])
        })
        .boxed()
}

/// A server that turns cold without notice, which its first response shows.
pub fn unnoticed_cold() -> BoxedStrategy<Step> {
    (0..SERVERS, 0..ENTRIES, 0_u64..300, 0_u64..2500)
        .prop_map(|(server, entry, before, after)| {
            let first = Step::Submit(Load {
                first_entry: entry,
                count: 1,
                server,
                tokens: 1,
                duration_ms: 20,
                is_reservation: false,
            });
            Step::Script(vec![
                Step::TurnCold(server, false),
                Step::Wait(before),
                first,
                Step::Wait(after),
                from_all_entries(server, 3000),
            ])
        })
        .boxed()
}

/// An intent that its holders lose by restarts, in an outage right after it was accepted.
pub fn forgotten_intent() -> BoxedStrategy<Step> {
    (0..ENTRIES, 0..DATA_CENTRES.len(), 5000_u64..7000)
        .prop_map(|(entry, data_centre, after)| {
            let other = |by: usize| (entry + by) % ENTRIES;
            let change = fleet::Change {
                data_centre: DATA_CENTRES[data_centre].into(),
                is_out: true,
                then_outage: true,
                sends_commit: false,
            };
            let mut steps = vec![
                Step::CutOperator(entry),
                Step::Operate(vec![change]),
                Step::Kill(other(1)),
                Step::Kill(other(2)),
                Step::Freeze(other(3)),
                Step::Start(other(1)),
                Step::Start(other(2)),
                Step::Wait(after),
            ];
            for _ in 0..6 {
                steps.extend([on_all_servers(entry), Step::Wait(500)]);
            }
            steps.extend([Step::Mend, Step::Outage(false), Step::Thaw(other(3))]);
            Step::Script(steps)
        })
        .boxed()
}

/// An entry that was cut off for long, returns, and is cut off again before it hears of others.
pub fn brief_return() -> BoxedStrategy<Step> {
    (0..ENTRIES, 0..SERVERS, 5000_u64..7000, 1_u64..600)
        .prop_map(|(entry, server, away, back)| {
            Step::Script(vec![
                Step::Isolate(entry),
                Step::Wait(away),
                Step::Mend,
                Step::Wait(back),
                Step::Partition(entry),
                from_all_entries(server, 20_000),
                Step::Wait(1500),
                Step::Mend,
            ])
        })
        .boxed()
}

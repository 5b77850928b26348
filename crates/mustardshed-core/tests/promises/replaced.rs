//! A steward that is frozen, replaced by a later run, and goes on unaware of it.

use std::time;

use super::{
    fleet,
    step::{Fault, Load, Step},
};

/// Server that is warm.
const WARM: usize = 0;
/// Server that is cold, and whose steward is replaced.
const COLD: usize = 2;
/// Entry that is its steward.
const STEWARD: usize = 1;

/// Work on one server, two requests from each entry.
fn everywhere(server: usize) -> Step {
    Step::Submit(Load {
        first_entry: 0,
        count: 2 * fleet::ENTRIES,
        server,
        tokens: 1,
        lasts_ms: 20_000,
        is_reservation: false,
    })
}

/// An entry that is cut off, back for a moment, and cut off again.
fn brief_return(entry: usize, away: u64, back: u64) -> Vec<Step> {
    vec![
        Step::Isolate(entry),
        Step::Wait(away),
        Step::Mend,
        Step::Wait(back),
        Step::Partition(entry),
        everywhere(WARM),
        Step::Wait(1500),
        Step::Mend,
    ]
}

/// The shrunk case of seed 432.
#[test]
fn promise_3_replaced_steward_is_waited_for() {
    let mut fleet = fleet::Fleet::new();
    let few = Load {
        first_entry: 0,
        count: 4,
        server: WARM,
        tokens: 1,
        lasts_ms: 50,
        is_reservation: false,
    };
    let scripts = [
        brief_return(0, 5095, 315),
        brief_return(2, 5370, 87),
        vec![Step::Submit(few)],
        vec![
            everywhere(COLD),
            Step::Wait(973),
            Step::BreakStreams(COLD),
            everywhere(COLD),
        ],
        vec![
            everywhere(COLD),
            Step::Wait(1),
            Step::Replace(STEWARD),
            Step::Wait(400),
            everywhere(COLD),
            Step::ThawReplaced(STEWARD),
            Step::Wait(400),
            everywhere(COLD),
        ],
        vec![
            everywhere(WARM),
            Step::Wait(1),
            Step::Steward(WARM, Fault::Kill),
            Step::Wait(5000),
        ],
    ];

    for script in scripts {
        Step::Script(script).apply(&mut fleet);
        fleet.advance(time::Duration::from_millis(20));
    }

    assert!(fleet.fell_over.is_empty(), "{:?}", fleet.fell_over);
}

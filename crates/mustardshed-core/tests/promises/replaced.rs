//! A steward that is frozen, replaced by a later incarnation, and then resumes unaware of it.

use std::time;

use super::{
    fleet,
    step::{Fault, Load, Step},
};

/// Index of a warm server.
const WARM: usize = 0;
/// Indices of cold servers, one in each data centre.
const COLD: [usize; 2] = [2, 3];

/// Small requests on one server, two from each entry.
fn from_all_entries(server: usize) -> Step {
    Step::Submit(Load {
        first_entry: 0,
        count: 2 * fleet::ENTRIES,
        server,
        tokens: 1,
        duration_ms: 20_000,
        is_reservation: false,
    })
}

/// An entry that is cut off, returns for a moment, and is cut off again.
fn brief_return(entry: usize, away: u64, back: u64) -> Vec<Step> {
    vec![
        Step::Isolate(entry),
        Step::Wait(away),
        Step::Mend,
        Step::Wait(back),
        Step::Partition(entry),
        from_all_entries(WARM),
        Step::Wait(1500),
        Step::Mend,
    ]
}

/// Returns the minimized case of seed 432, in which `entry`, perhaps the steward of `cold`, is
/// replaced.
fn scripts(entry: usize, cold: usize) -> [Vec<Step>; 6] {
    let before = (entry + fleet::ENTRIES - 1) % fleet::ENTRIES;
    let after = (entry + 1) % fleet::ENTRIES;
    let few = Load {
        first_entry: before,
        count: 4,
        server: WARM,
        tokens: 1,
        duration_ms: 50,
        is_reservation: false,
    };
    [
        brief_return(before, 5095, 315),
        brief_return(after, 5370, 87),
        vec![Step::Submit(few)],
        vec![
            from_all_entries(cold),
            Step::Wait(973),
            Step::BreakStreams(cold),
            from_all_entries(cold),
        ],
        vec![
            from_all_entries(cold),
            Step::Wait(1),
            Step::Replace(entry),
            Step::Wait(400),
            from_all_entries(cold),
            Step::ThawReplaced(entry),
            Step::Wait(400),
            from_all_entries(cold),
        ],
        vec![
            from_all_entries(WARM),
            Step::Wait(1),
            Step::Steward(WARM, Fault::Kill),
            Step::Wait(5000),
        ],
    ]
}

#[test]
fn promise_3_replaced_steward_is_waited_for() {
    for entry in 0..fleet::ENTRIES {
        for cold in COLD {
            let mut fleet = fleet::Fleet::new();
            for script in scripts(entry, cold) {
                Step::Script(script).apply(&mut fleet);
                fleet.advance(time::Duration::from_millis(20));
            }

            let fell_over = &fleet.fell_over;
            assert!(fell_over.is_empty(), "{entry} {cold} {fell_over:?}");
        }
    }
}

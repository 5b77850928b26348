//! Signals that are sent while the process is paused.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{forward::pauses, ids};

const fn ms(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

/// Returns the record of a process that ticked at these times, in milliseconds.
fn ticked(at_ms: &[u64]) -> pauses::Pauses {
    let mut pauses = pauses::Pauses::new(ms(0));
    for at in at_ms {
        pauses.tick(ms(*at));
    }
    pauses
}

#[gtest]
fn signal_is_sent_when_it_is_handled_by_a_process_that_runs() -> Result<()> {
    let pauses = ticked(&[200, 400]);

    verify_that!(pauses.earliest_sent_at(ms(590)), eq(ms(590)))
}

#[gtest]
fn signal_that_is_handled_right_after_a_pause_may_be_as_old_as_the_pause() -> Result<()> {
    let before_tick = ticked(&[200]);
    let after_tick = ticked(&[200, 1_250]);

    expect_that!(before_tick.earliest_sent_at(ms(1_250)), eq(ms(200)));
    verify_that!(after_tick.earliest_sent_at(ms(1_260)), eq(ms(200)))
}

#[gtest]
fn signal_that_is_handled_later_was_sent_after_the_pause() -> Result<()> {
    let pauses = ticked(&[200, 1_250]);

    verify_that!(pauses.earliest_sent_at(ms(1_400)), eq(ms(1_400)))
}

//! Times at which the messages of a link were sent.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{forward::send_times, ids};
use proptest::prelude::*;

use crate::fixtures;

/// Difference between the clocks of the two entries.
const CLOCKS: time::Duration = time::Duration::from_secs(7_000);
/// Most by which an estimate may differ from the time at which a message was sent.
const TOLERANCE: time::Duration = ms(600);

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn at(millis: u64) -> ids::Timestamp {
    fixtures::START + ms(millis)
}

/// Returns a link on which heartbeats and replies have been exchanged for two seconds.
fn link() -> send_times::SendTimes {
    let mut link = send_times::SendTimes::new(at(0));
    for i in 0..8 {
        link.record_reply(at(250 * i));
        link.record_heartbeat(at(250 * i) + CLOCKS, at(250 * i + 2));
    }
    link
}

#[gtest]
fn message_counts_as_just_sent_while_replies_come() -> Result<()> {
    verify_that!(link().sent_at(at(1_990)), eq(at(1_990)))
}

// Guards against ages that are counted from the receipt, long after the message was sent.
#[gtest]
fn message_that_is_read_after_a_suspension_was_sent_before_it() -> Result<()> {
    let link = link();

    expect_that!(link.sent_at(at(7_000)), le(at(2_000)));
    verify_that!(link.sent_after(), eq(at(1_750)))
}

#[gtest]
fn heartbeats_date_messages_that_arrived_during_a_suspension() -> Result<()> {
    let mut link = link();

    link.record_heartbeat(at(4_250) + CLOCKS, at(7_000));

    verify_that!(link.sent_at(at(7_000)), eq(at(4_252)))
}

#[gtest]
fn messages_of_a_link_that_was_never_read_in_time_were_sent_after_its_opening() -> Result<()> {
    let mut link = send_times::SendTimes::new(at(0));

    link.record_heartbeat(at(0) + CLOCKS, at(5_000));

    verify_that!(link.sent_at(at(5_000)), eq(at(0)))
}

proptest! {
    // The entry reads nothing for several short times, none of which a time-out would notice.
    #[test]
    fn estimate_is_close_however_the_reader_is_suspended(
        pauses in proptest::collection::vec(0..1_400_u64, 1..12),
    ) {
        let mut link = link();
        let mut now = at(2_000);
        let mut heartbeat = 8;
        for pause in pauses {
            // The reader wakes for long enough to read one heartbeat, and no reply.
            now += ms(pause + 1);
            let sent_at = at(250 * heartbeat);
            if sent_at > now {
                continue;
            }
            heartbeat += 1;
            link.record_heartbeat(sent_at + CLOCKS, now);

            let estimate = link.sent_at(now);

            prop_assert!(estimate.abs_diff(sent_at) <= TOLERANCE, "{estimate:?}, sent at {sent_at:?}");
        }
    }
}

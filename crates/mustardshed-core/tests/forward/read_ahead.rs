//! Clients that read slowly or stop, while their servers send.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::{memory_budget, read_ahead};

const LIMIT_BYTES: usize = 64 * 1024;
const EVENT_BYTES: usize = 1_000;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn stream() -> read_ahead::ReadAhead {
    read_ahead::ReadAhead::new(LIMIT_BYTES, ms(0))
}

fn budget() -> memory_budget::MemoryBudget {
    memory_budget::MemoryBudget::new(160_000_000)
}

/// Reads up to `events` events and the end of the stream ahead, as far as the decision and the
/// budget allow; returns the number of events read.
fn read(
    stream: &mut read_ahead::ReadAhead,
    budget: &memory_budget::MemoryBudget,
    events: u64,
) -> u64 {
    let mut counted = stream.held();
    let mut read = 0;
    while let read_ahead::Decision::Read { bytes } = stream.decide() {
        if !budget.try_add_spare(counted, bytes - counted) {
            break;
        }
        counted = bytes;
        if read == events {
            stream.record_end();
        } else {
            stream.record_held(EVENT_BYTES);
            read += 1;
        }
    }
    read
}

// Guards against a server whose slot stays taken by a client that does not read.
#[gtest]
fn client_that_stops_reading_has_all_events_held_up_to_the_end() -> Result<()> {
    let mut stream = stream();

    expect_that!(read(&mut stream, &budget(), 30), eq(30));
    expect_that!(stream.decide(), eq(read_ahead::Decision::Ended));
    for at in 0..30 {
        expect_that!(stream.held(), ge(EVENT_BYTES));
        stream.record_taken(EVENT_BYTES, ms(at));
    }
    expect_that!(stream.decide(), eq(read_ahead::Decision::Ended));
    verify_that!(stream.held(), eq(0))
}

#[gtest]
fn client_that_stops_reading_holds_no_more_than_the_limit_and_one_event() -> Result<()> {
    let (mut stream, budget) = (stream(), budget());

    let events = read(&mut stream, &budget, 10_000);

    let most = LIMIT_BYTES + EVENT_BYTES + read_ahead::OVERHEAD_BYTES;
    expect_that!(stream.decide(), eq(read_ahead::Decision::LimitReached));
    expect_that!(stream.held(), all![ge(LIMIT_BYTES), lt(most)]);
    verify_that!(budget.held() as u64, ge(events * EVENT_BYTES as u64))
}

// Guards against read-ahead that takes the memory which requests and large buffers need.
#[gtest]
fn reading_falls_back_to_the_clients_speed_when_memory_runs_out() -> Result<()> {
    let (mut stream, budget) = (stream(), budget());
    while budget.try_add_spare(0, read_ahead::NEXT_EVENT_BYTES) {}

    for at in 0..10 {
        expect_that!(read(&mut stream, &budget, 10), eq(0));
        stream.record_passed_on(ms(at));
    }

    verify_that!(budget.try_add(0, 10_000_000), eq(true))
}

#[gtest]
fn client_is_slow_after_a_second_without_a_taken_event_unless_it_waits_for_one() -> Result<()> {
    let mut stream = stream();
    stream.record_passed_on(ms(900));

    expect_that!(stream.slow_in(ms(1_000)), some(eq(ms(900))));
    expect_that!(stream.slow_in(ms(1_900)), some(eq(ms(0))));
    stream.record_client_waits();
    expect_that!(stream.slow_in(ms(9_000)), none());
    verify_that!(stream.decide(), eq(read_ahead::Decision::ClientWaits))
}

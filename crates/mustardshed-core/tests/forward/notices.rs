//! What servers have asked for in their responses.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::{notices, server};

use crate::fixtures;

const fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn born(born: Option<u64>) -> server::Server {
    server::Server {
        started_unix_ms: born,
        ..fixtures::server("s-1")
    }
}

#[gtest]
fn leaving_run_gets_no_more_requests_and_the_next_run_does() -> Result<()> {
    let mut notices = notices::Notices::default();
    let (first, second) = (born(Some(7)), born(Some(8)));

    let is_news = notices.record_leaving("s-1", first.started_unix_ms, at(0));
    let again = notices.record_leaving("s-1", first.started_unix_ms, at(10));

    expect_that!((is_news, again), eq((true, false)));
    // The list still has it as ready; the server's own notice is newer.
    expect_that!(first.state, eq(server::State::Ready));
    expect_that!(notices.allows(&first, at(3_600_000)), eq(false));
    verify_that!(notices.allows(&second, at(10)), eq(true))
}

#[gtest]
fn list_entry_that_expires_and_returns_does_not_end_a_notice() -> Result<()> {
    let mut notices = notices::Notices::default();
    notices.record_leaving("s-1", None, at(0));
    notices.record_back_off("s-1", at(2_000), at(0));

    notices.expire(|_| false, at(1_000));

    expect_that!(notices.is_leaving(&born(None)), eq(true));
    verify_that!(notices.back_off_left("s-1", at(1_000)), some(eq(at(1_000))))
}

#[gtest]
fn notices_of_servers_that_are_gone_are_forgotten() -> Result<()> {
    let mut notices = notices::Notices::default();
    notices.record_leaving("s-1", None, at(0));

    notices.expire(|_| false, at(600_000));

    verify_that!(notices.is_leaving(&born(None)), eq(false))
}

#[gtest]
fn server_gets_no_requests_for_exactly_the_back_off_that_it_asks_for() -> Result<()> {
    let mut notices = notices::Notices::default();
    let server = born(None);

    notices.record_back_off("s-1", at(1_500), at(1_000));
    // A shorter back-off that is asked for later does not cut the longer one.
    notices.record_back_off("s-1", at(100), at(1_100));

    expect_that!(notices.allows(&server, at(2_499)), eq(false));
    verify_that!(notices.allows(&server, at(2_500)), eq(true))
}

#[gtest]
fn absurdly_long_back_off_is_cut() -> Result<()> {
    let mut notices = notices::Notices::default();

    let taken = notices.record_back_off("s-1", time::Duration::MAX, at(0));

    expect_that!(taken, eq(notices::MAX_BACK_OFF));
    verify_that!(notices.allows(&born(None), notices::MAX_BACK_OFF), eq(true))
}

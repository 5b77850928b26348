//! Which connections of clients are kept.

use std::{net, time};

use googletest::prelude::*;
use mustardshed_core::forward::client_limits::{
    self, ClientLimits, Closed, ConnectionId, Limit, Limits, Timeouts,
};

const SECOND: time::Duration = time::Duration::from_secs(1);
const TIMEOUTS: Timeouts = Timeouts {
    head: time::Duration::from_secs(3),
    body: time::Duration::from_secs(15),
};

fn limited(max_connections: usize, max_per_address: usize, max_incomplete: usize) -> ClientLimits {
    ClientLimits::new(Limits {
        max_connections,
        max_per_address,
        max_incomplete,
        min_bytes_per_s: 100,
    })
}

fn address(last: u8) -> net::IpAddr {
    net::IpAddr::from([127, 0, 0, last])
}

/// Opens a connection that closes no other.
fn open(clients: &mut ClientLimits, at: time::Duration) -> ConnectionId {
    let opened = clients.open(address(1), at).expect("room");
    assert!(opened.closed.is_none());
    opened.id
}

/// Checks a listener each quarter of a second until `end`; returns what is closed.
fn check_until(clients: &mut ClientLimits, from: u32, end: u32) -> Vec<Closed> {
    let checks = from * 4..=end * 4;
    let checks = checks.map(|check| client_limits::CHECK_INTERVAL * check);
    checks
        .flat_map(|now| clients.close_overdue(TIMEOUTS, now))
        .collect()
}

// Guards against clients that take the descriptors of servers, peers, the store and metrics.
#[gtest]
fn descriptors_of_others_are_left_to_them() -> Result<()> {
    expect_that!(client_limits::max_connections(4_100, None), eq(1_537));
    expect_that!(client_limits::max_connections(4_100, Some(200)), eq(1_950));
    verify_that!(client_limits::max_connections(10, Some(20)), eq(1))
}

// Guards against an honest connection that is closed instead of one that has stood still for longer.
#[gtest]
fn the_longest_without_progress_is_closed_first() -> Result<()> {
    let mut clients = limited(3, 3, 3);
    let [first, second, third] = [0, 1, 2].map(|at| open(&mut clients, SECOND * at));
    for id in [first, third] {
        clients.record_received(id, 10, SECOND * 3);
    }

    let opened = clients.open(address(1), SECOND * 4).expect("room");

    let limit = Limit::Address;
    verify_that!(opened.closed, some(eq(Closed { id: second, limit })))
}

// Guards against connections kept alive by ordinary callers that make room for new clients.
#[gtest]
fn idle_connections_that_have_completed_a_request_are_closed_last() -> Result<()> {
    let mut clients = limited(2, 9, 9);
    let idle = open(&mut clients, SECOND);
    clients.record_request(idle, SECOND);
    clients.record_end(idle, SECOND);
    let silent = open(&mut clients, SECOND * 12);

    let opened = clients.open(address(2), SECOND * 13).expect("room");

    let limit = Limit::Connections;
    verify_that!(opened.closed, some(eq(Closed { id: silent, limit })))
}

// Guards against a request that is cut while it runs.
#[gtest]
fn connections_that_are_served_are_not_closed() -> Result<()> {
    let mut clients = limited(2, 9, 9);
    for id in [0, 1].map(|_| open(&mut clients, SECOND)) {
        clients.record_request(id, SECOND);
    }

    let opened = clients.open(address(2), SECOND * 60);

    expect_that!(opened, err(eq(Limit::Connections)));
    verify_that!(check_until(&mut clients, 1, 90), is_empty())
}

// Guards against responses without a reader that keep their connections for ever.
#[gtest]
fn a_connection_whose_response_is_not_read_may_be_closed() -> Result<()> {
    let mut clients = limited(2, 9, 9);
    let [unread, read] = [0, 1].map(|_| open(&mut clients, SECOND));
    for id in [unread, read] {
        clients.record_request(id, SECOND);
        clients.record_unread(id, true, SECOND);
    }
    clients.record_unread(read, false, SECOND * 2);

    let opened = clients.open(address(2), SECOND * 3).expect("room");

    let limit = Limit::Connections;
    verify_that!(opened.closed, some(eq(Closed { id: unread, limit })))
}

// Guards against clients that never complete a request and take the place of those that do.
#[gtest]
fn incomplete_connections_leave_room_to_others() -> Result<()> {
    let mut clients = limited(9, 9, 1);
    let complete = open(&mut clients, SECOND);
    clients.record_request(complete, SECOND);
    let silent = open(&mut clients, SECOND * 2);

    let opened = clients.open(address(1), SECOND * 3).expect("room");

    let limit = Limit::Incomplete;
    expect_that!(opened.closed, some(eq(Closed { id: silent, limit })));
    verify_that!(clients.open_count(), eq(2))
}

// Guards against one address that takes the connections of all others.
#[gtest]
fn an_address_is_limited_by_itself() -> Result<()> {
    let mut clients = limited(9, 1, 9);
    open(&mut clients, SECOND);

    let other = clients.open(address(2), SECOND).expect("room");
    let same = clients.open(address(1), SECOND).expect("room");

    expect_that!(other.closed, none());
    verify_that!(same.closed.map(|c| c.limit), some(eq(Limit::Address)))
}

// Guards against heads and bodies that go on with a byte now and then.
#[gtest]
fn bytes_below_the_least_rate_are_no_progress() -> Result<()> {
    let mut clients = limited(9, 9, 9);
    let [head, body] = [0, 1].map(|_| open(&mut clients, SECOND));
    clients.record_received(head, 12_000, SECOND);
    clients.record_head(body, SECOND);
    let mut closed = Vec::new();
    for second in 1..=18 {
        clients.record_received(head, 2, SECOND * second);
        clients.record_received(body, 12, SECOND * second);
        closed.extend(check_until(&mut clients, second, second + 1));
    }

    let expected = [(head, Limit::Head), (body, Limit::Body)];
    let expected = expected.map(|(id, limit)| Closed { id, limit });
    verify_that!(closed, eq(&expected.to_vec()))
}

// Guards against slow but honest uploads that are cut.
#[gtest]
fn an_upload_above_the_least_rate_is_kept() -> Result<()> {
    let mut clients = limited(9, 9, 9);
    let id = open(&mut clients, SECOND);
    clients.record_received(id, 300, SECOND);
    clients.record_head(id, SECOND);
    let mut closed = Vec::new();
    for second in 1..=60 {
        // A piece each ten seconds.
        if second % 10 == 0 {
            clients.record_received(id, 1_000, SECOND * second);
        }
        closed.extend(check_until(&mut clients, second, second + 1));
    }

    verify_that!(closed, is_empty())
}

// Guards against honest uploads that are cut after a suspension of the process.
#[gtest]
fn time_in_which_the_process_was_suspended_does_not_count() -> Result<()> {
    let mut clients = limited(9, 9, 9);
    let id = open(&mut clients, SECOND);
    clients.record_received(id, 300, SECOND);
    expect_that!(check_until(&mut clients, 1, 2), is_empty());

    let closed = clients.close_overdue(TIMEOUTS, SECOND * 30);

    verify_that!(closed, is_empty())
}

// Guards against memory that stalled clients keep from others, and against uploads in progress that
// are cut for it.
#[gtest]
fn memory_is_taken_from_stalled_connections_only() -> Result<()> {
    let mut clients = limited(9, 9, 9);
    let [stalled, moving, idle] = [0, 1, 2].map(|_| open(&mut clients, SECOND));
    clients.record_request(idle, SECOND);
    clients.record_end(idle, SECOND);
    for id in [stalled, moving] {
        clients.record_head(id, SECOND);
    }
    clients.record_received(moving, 1_000, SECOND * 5);

    let closed = [0, 1].map(|_| clients.close_for_memory(SECOND * 5));

    let limit = Limit::Memory;
    verify_that!(closed, eq([Some(Closed { id: stalled, limit }), None]))
}

//! Fleets of processes: the addresses of their entries.

#![expect(clippy::unwrap_used, reason = "fixtures of tests")]

use std::{collections, io, net};

use googletest::prelude::*;
use mustardshed_standins::fleet::address;

/// Number of addresses that are reserved at once; more than any fleet has.
const ADDRESSES: usize = 2_000;
/// Number of outgoing connections that are open at once.
const CONNECTIONS: usize = 200;

fn reserved(count: usize) -> Vec<address::Reserved> {
    let opened: io::Result<Vec<_>> = (0..count).map(|_| address::Reserved::open()).collect();
    opened.unwrap()
}

// Guards against entries that do not start: an address was given twice before either listened on it.
#[test]
fn addresses_of_entries_that_do_not_listen_yet_are_all_different() {
    let reserved = reserved(ADDRESSES);

    let distinct: collections::BTreeSet<_> = reserved.iter().map(address::Reserved::addr).collect();

    assert_that!(distinct.len(), eq(ADDRESSES));
}

// Guards against entries that do not start: their address was taken by a connection of somebody else.
#[test]
fn reserved_address_is_not_taken_by_outgoing_connections() {
    let reserved = reserved(ADDRESSES);
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();

    let streams: Vec<_> = (0..CONNECTIONS)
        .map(|_| (net::TcpStream::connect(to).unwrap(), listener.accept()))
        .collect();

    for address in &reserved {
        let is_taken =
            |(stream, _): &(net::TcpStream, _)| stream.local_addr().unwrap() == address.addr();
        assert_that!(streams.iter().any(is_taken), eq(false));
    }
}

#[test]
fn reserved_address_can_be_listened_on_by_one_process_after_another() {
    let reserved = address::Reserved::open().unwrap();

    for _ in 0..3 {
        let listener = net::TcpListener::bind(reserved.addr());
        let beside = net::TcpListener::bind(reserved.addr());

        assert_that!(listener, ok(anything()));
        assert_that!(beside, err(anything()));
    }
}

//! Platform data that an entry learns from its peers.

use std::time;

use googletest::prelude::*;
use mustardshed::{platform::objects, platform::topic::Topic, wire::forward};
use mustardshedd::forward::view;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn listing(revision: u64) -> objects::Listing {
    objects::Listing {
        revision,
        ..objects::Listing::default()
    }
}

const fn peer(changed: u64, age_ms: u64) -> forward::TopicState {
    forward::TopicState {
        revision: changed,
        age_ms,
        is_failing: false,
    }
}

#[gtest]
fn later_change_of_a_peer_is_fetched_though_its_read_began_earlier() -> Result<()> {
    let mut view = view::View::default();
    view.apply_listing(Topic::Servers, listing(150), ms(1_750), ms(1_754));

    // The peer's watch began at 1,200 ms and returned a change that was made after this entry's
    // list.
    let is_wanted = view.observe_peer(Topic::Servers, peer(151, 600), ms(1_800), true);

    verify_that!(is_wanted, eq(true))
}

#[gtest]
fn peer_without_a_later_change_confirms_known_data() -> Result<()> {
    let mut view = view::View::default();
    view.apply_listing(Topic::Servers, listing(150), ms(1_000), ms(1_004));

    let is_wanted = view.observe_peer(Topic::Servers, peer(149, 100), ms(1_800), true);

    expect_that!(is_wanted, eq(false));
    verify_that!(view.age(Topic::Servers, ms(1_800)), some(eq(ms(100))))
}

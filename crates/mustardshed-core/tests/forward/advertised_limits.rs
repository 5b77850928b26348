//! Rate limits that servers advertise in their responses.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::advertised_limits;

const fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

#[gtest]
fn limit_holds_until_a_later_response_has_none() -> Result<()> {
    let mut limits = advertised_limits::AdvertisedLimits::default();
    limits.record("s-1", 1.5, at(0));

    let by_an_earlier_response = limits.record_none("s-1", at(10));
    let kept = limits.per_s("s-1", at(10));
    let by_a_later_response = limits.record_none("s-1", at(1_000));

    expect_that!(
        (by_an_earlier_response, by_a_later_response),
        eq((false, true))
    );
    expect_that!(kept, some(eq(1.5)));
    verify_that!(limits.per_s("s-1", at(1_000)), none())
}

#[gtest]
fn peers_are_told_of_a_new_limit_and_periodically_of_the_same_one() -> Result<()> {
    let mut limits = advertised_limits::AdvertisedLimits::default();

    let told = [
        limits.record("s-1", 1.5, at(0)),
        limits.record("s-1", 1.5, at(4_000)),
        limits.record("s-1", 1.5, at(5_000)),
        limits.record("s-1", 3.0, at(5_010)),
    ];

    expect_that!(told, eq([true, false, true, true]));
    verify_that!(limits.per_s("s-1", at(5_010)), some(eq(3.0)))
}

#[gtest]
fn limit_that_is_not_advertised_again_expires() -> Result<()> {
    let mut limits = advertised_limits::AdvertisedLimits::default();

    limits.record_from_peer("s-1", Some(1.5), at(0));
    let kept = limits.per_s("s-1", at(29_999));
    let lapsed = limits.per_s("s-1", at(30_000));
    limits.record_from_peer("s-2", Some(1.5), at(0));
    limits.record_from_peer("s-2", None, at(10));

    expect_that!((kept, lapsed), eq((Some(1.5), None)));
    verify_that!(limits.per_s("s-2", at(10)), none())
}

// Guards against a limit that entries keep alive by telling each other of it.
#[gtest]
fn limit_that_peers_pass_on_expires_as_if_they_had_not() -> Result<()> {
    let mut first = advertised_limits::AdvertisedLimits::default();
    let mut second = advertised_limits::AdvertisedLimits::default();
    first.record("s-1", 1.5, at(0));

    for (server, per_s, as_of) in first.all(at(29_000)) {
        second.record_from_peer(server, Some(per_s), as_of);
    }

    expect_that!(second.per_s("s-1", at(29_999)), some(eq(1.5)));
    verify_that!(second.per_s("s-1", at(30_000)), none())
}

#[gtest]
fn later_limit_is_not_replaced_by_what_a_peer_saw_before() -> Result<()> {
    let mut limits = advertised_limits::AdvertisedLimits::default();
    limits.record("s-1", 1.5, at(1_000));

    limits.record_from_peer("s-1", Some(9.0), at(900));
    limits.record_from_peer("s-1", None, at(900));

    verify_that!(limits.per_s("s-1", at(1_000)), some(eq(1.5)))
}

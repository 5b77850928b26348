//! Request rates that servers have named in their responses.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::named_limits;

const fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

#[gtest]
fn limit_holds_until_a_later_response_names_none() -> Result<()> {
    let mut limits = named_limits::NamedLimits::default();
    limits.record("s-1", 1.5, at(0));

    let by_an_earlier_response = limits.record_none("s-1", at(10));
    let kept = limits.per_s("s-1");
    let by_a_later_response = limits.record_none("s-1", at(1_000));

    expect_that!(
        (by_an_earlier_response, by_a_later_response),
        eq((false, true))
    );
    expect_that!(kept, some(eq(1.5)));
    verify_that!(limits.per_s("s-1"), none())
}

#[gtest]
fn limit_follows_the_latest_response() -> Result<()> {
    let mut limits = named_limits::NamedLimits::default();

    let first = limits.record("s-1", 1.5, at(0));
    let second = limits.record("s-1", 3.0, at(10));

    expect_that!((first, second), eq((None, Some(1.5))));
    verify_that!(limits.per_s("s-1"), some(eq(3.0)))
}

//! The age of confirmed knowledge.

use std::time;

use googletest::prelude::*;
use mustardshed_core::version::confirmation;

use crate::fixtures;

const LIMIT: time::Duration = time::Duration::from_secs(4);

#[gtest]
fn nothing_is_known_before_the_first_confirmation() -> Result<()> {
    let confirmation = confirmation::Confirmation::default();

    verify_that!(
        confirmation.is_within(time::Duration::MAX, fixtures::START),
        eq(false)
    )
}

#[gtest]
fn confirmation_grows_old_and_never_goes_back() -> Result<()> {
    let mut confirmation = confirmation::Confirmation::default();
    confirmation.confirm(fixtures::START);
    confirmation.confirm(fixtures::START - time::Duration::from_secs(3));

    let at_limit = confirmation.is_within(LIMIT, fixtures::START + LIMIT);
    let beyond = fixtures::START + LIMIT + time::Duration::from_millis(1);

    expect_that!(at_limit, eq(true));
    verify_that!(confirmation.is_within(LIMIT, beyond), eq(false))
}

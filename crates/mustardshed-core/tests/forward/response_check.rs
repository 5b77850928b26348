//! Load pattern: servers in trouble send responses that are none.

use googletest::prelude::*;
use mustardshed_core::forward::response_check;

fn head(status: u16) -> response_check::Head {
    response_check::Head { status }
}

#[gtest]
fn statuses_of_responses_are_valid() -> Result<()> {
    for status in [102, 200, 204, 304, 404, 503, 599] {
        expect_that!(head(status).validate(), eq(Ok(())), "{status}");
    }
    Ok(())
}

#[gtest]
fn statuses_outside_100_to_599_are_invalid() -> Result<()> {
    for status in [0, 99, 600, 999] {
        let invalid = response_check::Invalid::Status(status);
        expect_that!(head(status).validate(), eq(Err(invalid)));
    }
    Ok(())
}

#[gtest]
fn switch_to_another_protocol_is_invalid() -> Result<()> {
    let switched = response_check::Invalid::Switched;

    verify_that!(head(101).validate(), eq(Err(switched)))
}

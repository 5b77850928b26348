//! Load pattern: servers in trouble send responses that are none, or end them early.

use googletest::prelude::*;
use mustardshed_core::forward::response_check::{self, Framing, Invalid};

/// Returns the head of a response with a body of known length.
fn head(status: u16) -> response_check::Head {
    response_check::Head {
        status,
        has_length: true,
        has_transfer_encoding: false,
        has_body: true,
    }
}

#[gtest]
fn statuses_of_responses_are_valid() -> Result<()> {
    for status in [102, 200, 204, 304, 404, 503, 599] {
        expect_that!(head(status).validate(), eq(Ok(Framing::Delimited)));
    }
    Ok(())
}

#[gtest]
fn statuses_outside_100_to_599_are_invalid() -> Result<()> {
    for status in [0, 99, 600, 999] {
        let invalid = Invalid::Status(status);
        expect_that!(head(status).validate(), eq(Err(invalid)));
    }
    Ok(())
}

#[gtest]
fn switch_to_another_protocol_is_invalid() -> Result<()> {
    verify_that!(head(101).validate(), eq(Err(Invalid::Switched)))
}

#[gtest]
fn body_until_the_end_of_the_connection_is_complete_only_after_the_whole_request() -> Result<()> {
    let until_close = response_check::Head {
        has_length: false,
        ..head(200)
    };

    let framing = until_close.validate();

    expect_that!(framing, eq(Ok(Framing::UntilClose)));
    expect_that!(Framing::UntilClose.validate_end(true), eq(Ok(())));
    let unfinished = Err(Invalid::Unfinished);
    expect_that!(Framing::UntilClose.validate_end(false), eq(unfinished));
    verify_that!(Framing::Delimited.validate_end(false), eq(Ok(())))
}

#[gtest]
fn response_without_a_body_is_complete_at_its_head() -> Result<()> {
    let empty = response_check::Head {
        has_length: false,
        has_body: false,
        ..head(204)
    };

    verify_that!(empty.validate(), eq(Ok(Framing::Delimited)))
}

#[gtest]
fn only_statuses_of_requests_that_have_not_run_need_a_proof() -> Result<()> {
    for status in 100..=599 {
        let valid = response_check::validate_run(status);
        let is_promise = [408, 421, 429, 503].contains(&status);
        let expected = if is_promise {
            Err(Invalid::Unproven(status))
        } else {
            Ok(())
        };
        expect_that!(valid, eq(expected), "{status}");
    }
    Ok(())
}

//! Ages in messages that are passed on, or wait to be sent.

use std::time;

use googletest::prelude::*;
use mustardshed_wire::forward;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn rate_limit(age_ms: u64) -> forward::Message {
    forward::Message::RateLimit {
        server: "i-1".to_owned(),
        per_s: Some(3.0),
        age_ms,
    }
}

// Guards against ages that do not grow while a relay, or the queue of a suspended entry, holds a message.
#[gtest]
fn message_that_is_passed_on_late_states_a_greater_age() -> Result<()> {
    let relayed = |message: forward::Message| forward::Message::Relayed {
        vm: "entry-1".to_owned(),
        message: Box::new(message),
    };

    let sent = relayed(rate_limit(40)).delayed(ms(4_900));

    verify_that!(sent, eq(&relayed(rate_limit(4_940))))
}

#[gtest]
fn message_that_is_sent_at_once_stays_as_it_is() -> Result<()> {
    verify_that!(rate_limit(40).delayed(ms(0)), eq(&rate_limit(40)))
}

#[gtest]
fn age_is_rounded_up() -> Result<()> {
    let sent = rate_limit(0).delayed(time::Duration::from_micros(1));

    verify_that!(sent, eq(&rate_limit(1)))
}

// A server that seems warm too early gets too much work.
#[gtest]
fn time_for_which_a_server_is_cold_is_kept() -> Result<()> {
    let cold = forward::Message::Cold {
        server: "i-1".to_owned(),
        left_ms: 3_000,
    };

    verify_that!(cold.clone().delayed(ms(4_900)), eq(&cold))
}

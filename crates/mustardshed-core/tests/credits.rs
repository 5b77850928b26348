//! Credits of a holder, and the queue of a steward.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{
    boundary::control,
    ids,
    process::{credits, holder, queue},
};

fn at_ms(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn request(number: u64, account: &str, tokens: u64, priority: u32) -> control::CreditRequest {
    control::CreditRequest {
        request: format!("e1.1.{number}"),
        account: account.into(),
        server: "s1".into(),
        tokens,
        prefill_tokens: tokens,
        priority,
        wait_until: at_ms(60_000),
        gang: false,
    }
}

fn waiter(number: u64, req: control::CreditRequest, received_at: ids::Timestamp) -> queue::Waiter {
    queue::Waiter {
        requester: queue::Requester::Own { ticket: number },
        req,
        received_at,
        wait_until: at_ms(60_000),
    }
}

fn response(waited: time::Duration) -> holder::Response {
    holder::Response {
        ticket: 1,
        request: "e1.1.1".into(),
        server: "s1".into(),
        waited,
        result: Ok(7),
    }
}

fn holder_with_request_at_zero() -> holder::Holder {
    let mut holder = holder::Holder::default();
    holder.request_sent(1, request(1, "c", 10, 0), "e2".into(), at_ms(0));
    holder
}

#[gtest]
fn credit_expiry_counts_from_the_grant_and_not_from_the_receipt() {
    let mut holder = holder_with_request_at_zero();

    let outcome = holder.on_response(&response(at_ms(500)), at_ms(1500));

    let expected = at_ms(500) + credits::USE_WITHIN;
    let credit = match outcome {
        holder::ResponseOutcome::Answered(Ok(credit)) => credit,
        outcome => panic!("{outcome:?}"),
    };
    expect_that!(credit.use_by, eq(expected));
}

#[gtest]
fn credit_that_arrives_too_late_is_not_held() {
    let mut holder = holder_with_request_at_zero();

    let outcome = holder.on_response(&response(at_ms(0)), at_ms(2500));

    expect_that!(
        outcome,
        eq(&holder::ResponseOutcome::TooLate { is_awaited: true })
    );
    expect_that!(holder.held_credits_on("s1"), is_empty());
}

#[gtest]
fn large_work_is_not_overtaken_forever() {
    let mut queue = queue::Queue::default();
    queue
        .push(waiter(0, request(0, "c", 900, 3), at_ms(0)))
        .unwrap();
    let mut served_at = None;

    // Each second, four small requests of higher priority arrive and one request is served.
    for second in 0..60 {
        let now = at_ms(second * 1000);
        for number in 0..4 {
            let req = request(100 * (second + 1) + number, "d", 1, 0);
            let _ = queue.push(waiter(number, req, now));
        }
        let first = queue.serving_order(now)[0];
        if queue.serve(first, 1).req.tokens == 900 {
            served_at = Some(second);
            break;
        }
    }

    expect_that!(served_at, some(le(10)));
}

#[gtest]
fn accounts_are_served_by_their_weights() {
    let mut queue = queue::Queue::default();
    for number in 0..120 {
        let account = if number % 2 == 0 { "light" } else { "heavy" };
        let req = request(number, account, 100, 0);
        queue.push(waiter(number, req, at_ms(0))).unwrap();
    }

    let mut heavy = 0;
    for _ in 0..40 {
        let first = queue.serving_order(at_ms(1))[0];
        let is_heavy = queue.get(first).unwrap().req.account == "heavy";
        queue.serve(first, if is_heavy { 3 } else { 1 });
        heavy += u32::from(is_heavy);
    }

    expect_that!(heavy, all!(ge(29), le(31)));
}

#[gtest]
fn queue_is_bounded() {
    let mut queue = queue::Queue::default();
    for number in 0..queue::MAX_WAITING as u64 {
        let req = request(number, "c", 1, 0);
        queue.push(waiter(number, req, at_ms(0))).unwrap();
    }

    let refused = queue.push(waiter(999, request(999, "c", 1, 0), at_ms(0)));

    expect_that!(refused, err(anything()));
}

//! Timer that is restarted at every arrival.

use std::{future, time};

use googletest::prelude::*;
use mustardshedd::connection::idle_timer;

const LONG: time::Duration = time::Duration::from_secs(3_600);
const SHORT: time::Duration = time::Duration::from_millis(20);

#[tokio::test]
async fn an_arrival_takes_precedence_over_the_timeout() {
    let mut timer = idle_timer::IdleTimer::new(time::Duration::ZERO);

    let arrived = timer.wait_for(future::ready(7)).await;

    assert_that!(arrived, some(eq(7)));
}

#[tokio::test]
async fn a_wait_without_an_arrival_times_out() {
    let mut timer = idle_timer::IdleTimer::new(SHORT);

    let arrived = timer.wait_for(future::pending::<()>()).await;

    assert_that!(arrived, none());
}

#[tokio::test]
async fn a_restart_extends_the_wait() {
    let mut timer = idle_timer::IdleTimer::new(SHORT);
    timer.restart(LONG);

    let arrived = timer.wait_for(tokio::time::sleep(SHORT * 3)).await;

    assert_that!(arrived, some(eq(())));
}

#[tokio::test]
async fn a_restart_shortens_the_wait() {
    let mut timer = idle_timer::IdleTimer::new(LONG);
    timer.restart(SHORT);

    let arrived = timer.wait_for(future::pending::<()>()).await;

    assert_that!(arrived, none());
}

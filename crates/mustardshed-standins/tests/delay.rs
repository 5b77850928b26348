//! Delays that stand-ins add: who is far, and that nothing comes earlier than one way later.

#![expect(clippy::unwrap_used, reason = "fixtures of tests")]

use std::time;

use futures_util::{StreamExt, stream};
use googletest::prelude::*;
use mustardshed_standins::{
    delay::{self, timer},
    engine::{server, settings},
    fleet::spec,
    json_client,
};

const ONE_WAY: time::Duration = time::Duration::from_millis(20);

/// Runs a prompt whose identifier begins with `vm` on an engine that is far from `entry-1`.
async fn run(vm: &str) -> (time::Duration, json_client::Answer) {
    let settings = settings::Settings {
        delays: delay::Delays::new([("entry-1".to_owned(), 100 * ONE_WAY)]),
        time_scale: 100.0,
        ..settings::Settings::default()
    };
    let engine = server::Engine::bind(settings).await.unwrap();
    let body = r#"{"model":"draft","prompt":"word","max_tokens":3}"#;
    let req = http::Request::post(format!("http://{}/v1/completions", engine.address()))
        .header("x-request-id", format!("{vm}.7.1"))
        .body(json_client::Body::from(body));
    let begun = time::Instant::now();
    let client = json_client::JsonClient::open();
    let answer = client.send(req).await.unwrap();
    (begun.elapsed(), answer)
}

#[tokio::test]
async fn answer_to_a_far_entry_comes_both_ways_later_and_is_the_same() -> Result<()> {
    let (_, near) = run("entry-2").await;

    let (elapsed, far) = run("entry-1").await;

    verify_that!(elapsed, ge(2 * ONE_WAY))?;
    verify_that!(far.status, eq(200))?;
    verify_that!(far.body, eq(&near.body))
}

#[tokio::test]
async fn parts_keep_their_order_and_come_late() -> Result<()> {
    let timer = timer::Timer::spawn();
    let begun = time::Instant::now();

    let parts = delay::delayed(&timer, ONE_WAY, stream::iter(0..100));
    let seen: Vec<i32> = parts.collect().await;

    verify_that!(begun.elapsed(), ge(ONE_WAY))?;
    verify_that!(seen, eq(&(0..100).collect::<Vec<_>>()))
}

#[test]
fn only_entries_of_other_data_centres_are_far_and_none_by_default() {
    let near = spec::Spec::small(1, 4);
    let mut far = near.clone();
    far.delay_between = time::Duration::from_micros(1_500);

    let args = far.delay_args("east");

    assert!(near.delay_args("east").is_empty());
    assert_eq!(args, ["--delay", "entry-1=1500", "--delay", "entry-2=1500"]);
}

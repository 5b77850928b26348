//! Delays that stand-ins add: who is far, that far is later than near, and that nothing is changed.

#![expect(clippy::unwrap_used, reason = "fixtures of tests")]

use std::time;

use futures_util::{FutureExt, StreamExt, stream};
use googletest::prelude::*;
use mustardshed_standins::{
    delay::{self, timer},
    engine::{server, settings},
    fleet::spec,
    json_client,
};

const SHORT: time::Duration = time::Duration::from_millis(1);
/// Longer than any test runs.
const ENDLESS: time::Duration = time::Duration::from_secs(1_000_000);

/// Returns an engine that is far from `entry-1` and further from `entry-2`.
async fn engine() -> server::Engine {
    let delays = [("entry-1", SHORT), ("entry-2", ENDLESS)];
    let settings = settings::Settings {
        delays: delay::Delays::new(delays.map(|(vm, delay)| (vm.to_owned(), delay))),
        ..settings::Settings::default()
    };
    server::Engine::bind(settings).await.unwrap()
}

/// Runs a prompt whose identifier begins with `vm`.
async fn run(engine: &server::Engine, vm: &str) -> json_client::Answer {
    let body = r#"{"model":"draft","prompt":"word","max_tokens":3}"#;
    let req = http::Request::post(format!("http://{}/v1/completions", engine.address()))
        .header("x-request-id", format!("{vm}.7.1"))
        .body(json_client::Body::from(body));
    json_client::JsonClient::open().send(req).await.unwrap()
}

#[tokio::test]
async fn answer_to_a_far_entry_comes_after_one_to_a_near_entry_and_is_the_same() -> Result<()> {
    let engine = engine().await;

    let (near, far) = tokio::select! {
        answers = async { (run(&engine, "entry-3").await, run(&engine, "entry-1").await) } => answers,
        _ = run(&engine, "entry-2") => return fail!("the furthest entry was answered"),
    };

    verify_that!((near.status, far.status), eq((200, 200)))?;
    verify_that!(far.body, eq(&near.body))
}

#[tokio::test]
async fn parts_keep_their_order_and_wait_for_their_time() -> Result<()> {
    let timer = timer::Timer::spawn();
    let near = delay::delayed(&timer, SHORT, stream::iter(0..100));
    let mut far = Box::pin(delay::delayed(&timer, ENDLESS, stream::iter(0..100)));

    let seen: Vec<i32> = near.collect().await;

    verify_that!(seen, eq(&(0..100).collect::<Vec<_>>()))?;
    verify_that!(far.next().now_or_never(), none())
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

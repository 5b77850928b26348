//! Request bodies of clients that are large, or do not end.

use googletest::prelude::*;

use crate::{
    client,
    fixture::{self, Fixture},
    server,
};

/// Size of the largest body that the configuration allows, in bytes.
const LARGE_BYTES: usize = 4 * 1024 * 1024;
/// Requests with such bodies.
const REQUESTS: usize = 100;
/// Sound requests beside them.
const SOUND_REQUESTS: usize = 40;

// Guards against the memory of bodies that are each within their limit, but together are not.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_do_not_end_do_not_exhaust_memory() -> Result<()> {
    let f = Fixture::open(1, server::Answer::Whole(800)).await;
    let front = crate::entry::front(f.entry.ip);
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r-{number}")).collect();
    let body = client::Body::Unfinished(LARGE_BYTES);
    let sending = ids
        .iter()
        .map(|id| client::send(front, "/other/a", id, body));
    let sending = futures_util::future::join_all(sending);
    let (responses, sound) = tokio::join!(sending, client::send_sound(front, SOUND_REQUESTS));

    let responses: Vec<client::Response> = responses.into_iter().map(Result::unwrap).collect();
    let mut refused = responses.iter().filter(|seen| seen.status == Some(503));
    expect_that!(refused.all(|seen| seen.has_retry_after), eq(true));
    expect_that!(f.requests_of_others(), eq(0));
    expect_that!(sound, eq(&vec![Some(200); SOUND_REQUESTS]));
    verify_that!(f.entry.peak_memory(), le(fixture::MEMORY_BYTES))
}

// Guards against 503 for a request that has run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_at_once_are_served_or_refused_as_not_run() -> Result<()> {
    let f = Fixture::open(4, server::Answer::Whole(800)).await;
    let front = crate::entry::front(f.entry.ip);
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r-{number}")).collect();
    let body = client::Body::Whole(LARGE_BYTES);
    let sending = ids
        .iter()
        .map(|id| client::send(front, "/large/a", id, body));
    let sending = futures_util::future::join_all(sending);
    let (responses, sound) = tokio::join!(sending, client::send_sound(front, SOUND_REQUESTS));

    let responses: Vec<client::Response> = responses.into_iter().map(Result::unwrap).collect();
    let served = responses.iter().filter(|seen| seen.status == Some(200));
    let refused = responses.iter().filter(|seen| seen.status == Some(503));
    let (served, refused) = (served.count(), refused.count());
    expect_that!(served, gt(0));
    expect_that!(served + refused, eq(REQUESTS));
    expect_that!(f.requests_of_others(), eq(served));
    expect_that!(sound, eq(&vec![Some(200); SOUND_REQUESTS]));
    verify_that!(f.entry.peak_memory(), le(fixture::MEMORY_BYTES))
}

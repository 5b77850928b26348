//! Answers of servers that are large, or do not end.

use googletest::prelude::*;

use crate::{
    client,
    fixture::{self, Fixture},
    server,
};

/// Size of an answer just below the largest that an entry takes, in bytes.
const LARGE_BYTES: usize = 7_900_000;
/// Size of an event just below the largest that an entry takes, in bytes.
const LARGE_EVENT_BYTES: usize = 1_000_000;
/// Requests whose answers do not end.
const REQUESTS: usize = 100;
/// Servers that send such answers.
const SERVERS: usize = 8;
/// Sound requests beside them.
const SOUND_REQUESTS: usize = 40;

/// What a test has seen.
struct Seen {
    responses: Vec<client::Response>,
    sound: Vec<Option<u16>>,
    peak_memory: u64,
}

/// Sends requests to servers with such answers, and sound requests to another server meanwhile.
async fn send_all(path: &str, answer: server::Answer) -> Seen {
    let f = Fixture::open(SERVERS, answer).await;
    let front = crate::entry::front(f.entry.ip);
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r-{number}")).collect();
    let sending = ids
        .iter()
        .map(|id| client::send(front, path, id, client::Body::Empty));
    let sending = futures_util::future::join_all(sending);
    let (responses, sound) = tokio::join!(sending, client::send_sound(front, SOUND_REQUESTS));
    Seen {
        responses: responses.into_iter().map(Result::unwrap).collect(),
        sound,
        peak_memory: f.entry.peak_memory(),
    }
}

/// Checks that memory was bounded, sound requests were served, and what has run was not refused.
fn check(seen: &Seen) -> Result<()> {
    let refused = seen.responses.iter().filter(|response| {
        let status = response.status;
        status.is_some_and(|status| [408, 421, 429, 503].contains(&status))
    });
    expect_that!(refused.count(), eq(0));
    expect_that!(seen.sound, eq(&vec![Some(200); SOUND_REQUESTS]));
    verify_that!(seen.peak_memory, le(fixture::MEMORY_BYTES))
}

// Guards against the memory of answers that are each within their limit, but together are not, and
// against those that look complete because they are passed on while they arrive.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_trickle_do_not_exhaust_memory() -> Result<()> {
    let seen = send_all("/other/a", server::Answer::Trickle(LARGE_BYTES)).await;

    let mut successes = seen.responses.iter();
    let looks_whole = successes.any(|seen| seen.status == Some(200) && seen.is_whole);
    expect_that!(looks_whole, eq(false));
    check(&seen)
}

// Guards against a read buffer that is kept for each small piece of an answer.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_in_chunks_of_a_byte_do_not_exhaust_memory() -> Result<()> {
    let seen = send_all("/other/a", server::Answer::Bytes).await;

    check(&seen)
}

// Guards against the memory of unfinished events of many streams.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_that_trickle_do_not_exhaust_memory() -> Result<()> {
    let seen = send_all(
        "/events/a",
        server::Answer::TrickledEvent(LARGE_EVENT_BYTES),
    )
    .await;

    check(&seen)
}

// Guards against large answers of sound servers that are given up for lack of memory.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answers_at_once_arrive_whole() -> Result<()> {
    let seen = send_all("/large/a", server::Answer::Whole(LARGE_BYTES)).await;

    let whole = client::Response {
        status: Some(200),
        has_retry_after: false,
        received: LARGE_BYTES,
        is_whole: true,
    };
    expect_that!(seen.responses, each(eq(&whole)));
    check(&seen)
}

// Guards against events that are held for clients which read nothing, and are not counted.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_are_not_read_do_not_exhaust_memory() -> Result<()> {
    let f = Fixture::open(SERVERS, server::Answer::Events(LARGE_EVENT_BYTES)).await;
    let front = crate::entry::front(f.entry.ip);

    let mut unread = Vec::new();
    for number in 0..3 * REQUESTS {
        unread.push(client::begin(front, "/events/a", &format!("r-{number}")).await);
    }
    let sound = client::send_sound(front, SOUND_REQUESTS).await;

    expect_that!(sound, eq(&vec![Some(200); SOUND_REQUESTS]));
    verify_that!(f.entry.peak_memory(), le(fixture::MEMORY_BYTES))
}

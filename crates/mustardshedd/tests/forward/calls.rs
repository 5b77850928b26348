//! Calls with a single response.

use googletest::prelude::*;

use crate::{
    fixture,
    server::{self, Response},
};

#[gtest]
#[tokio::test]
async fn request_and_response_pass_unchanged_except_hop_by_hop_headers() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let headers = [
        ("api-key", fixture::KEY),
        ("tenant", "forged"),
        ("expect-instance", "forged"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("x-end", "2"),
    ];

    let seen = f
        .send_with(&entry, "POST", "/once/a?b=c", "the body", &headers)
        .await;

    let got = &server.got()[0];
    expect_that!((seen.status, seen.body.as_str()), eq((200, "done")));
    expect_that!(seen.header("server-stamp"), some(eq("signed")));
    expect_that!(
        (got.method.as_str(), got.path.as_str()),
        eq(("POST", "/once/a?b=c"))
    );
    expect_that!(got.body.as_ref(), eq(b"the body"));
    expect_that!(got.header("host"), some(eq(fixture::HOST)));
    expect_that!(got.header("request-id"), some(eq("r-1")));
    expect_that!(got.header("tenant"), some(eq("chapel")));
    expect_that!(got.header("expect-instance"), some(eq("i-1")));
    expect_that!(got.header("api-key"), none());
    expect_that!(got.header("x-hop"), none());
    expect_that!(got.header("x-end"), some(eq("2")));
    let left: u64 = got.header("deadline-ms").unwrap().parse().unwrap();
    verify_that!(left, le(20_000))
}

#[gtest]
#[tokio::test]
async fn call_that_may_run_once_is_not_retried_after_a_lost_response() -> Result<()> {
    let first = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&first]).await;
    let entry = f.entry("entry-1").await.ready().await;
    first.respond_with(Response::Closed);

    let seen = f.send(&entry, "POST", "/once/a", "").await;

    expect_that!(seen.status, eq(502));
    expect_that!(seen.header("retry-after"), none());
    verify_that!(first.got().len(), eq(1))
}

#[gtest]
#[tokio::test]
async fn rejected_call_is_sent_to_another_server() -> Result<()> {
    let (first, second) = (
        server::Server::bind("i-1").await,
        server::Server::bind("i-2").await,
    );
    let f = fixture::Fixture::with(&[&first, &second]).await;
    let entry = f.entry("entry-1").await.ready().await;
    first.respond_with(Response::NotRun);
    second.respond_with(Response::NotRun);

    let seen = f.send(&entry, "POST", "/once/a", "").await;

    // Both servers reject it once; the third attempt succeeds.
    expect_that!(seen.status, eq(200));
    verify_that!(first.got().len() + second.got().len(), eq(3))
}

#[gtest]
#[tokio::test]
async fn call_that_all_servers_reject_is_refused_as_not_run() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    for _ in 0..4 {
        server.respond_with(Response::NotRun);
    }

    let seen = f.send(&entry, "POST", "/once/a", "").await;

    expect_that!(seen.status, eq(503));
    verify_that!(seen.header("retry-after"), some(anything()))
}

#[gtest]
#[tokio::test]
async fn idempotent_call_is_retried_after_a_failure() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::Whole(500, "failed"));

    let seen = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!(seen.status, eq(200));
    verify_that!(server.got().len(), eq(2))
}

#[gtest]
#[tokio::test]
async fn error_response_of_a_server_passes_unchanged() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::Whole(500, "failed"));

    let seen = f.send(&entry, "POST", "/once/a", "").await;

    expect_that!((seen.status, seen.body.as_str()), eq((500, "failed")));
    verify_that!(seen.header("server-stamp"), some(eq("signed")))
}

#[gtest]
#[tokio::test]
async fn response_to_another_request_is_never_passed_on() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::WrongRequestId);
    server.respond_with(Response::WrongRequestId);

    let once = f.send(&entry, "POST", "/once/a", "").await;
    let again = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!(once.status, eq(502));
    verify_that!((again.status, again.body.as_str()), eq((200, "done")))
}

#[gtest]
#[tokio::test]
async fn request_is_cancelled_at_its_server_when_the_client_disconnects() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::Silent);

    {
        let sending = f.send(&entry, "POST", "/once/a", "");
        tokio::pin!(sending);
        let arrived = fixture::wait_until("the request", || !server.got().is_empty());
        tokio::select! {
            _ = &mut sending => panic!("there is a response although the server sent none"),
            () = arrived => {}
        }
    }
    fixture::wait_until("the connection to be closed", || server.abandoned() == 1).await;

    verify_that!(server.got().len(), eq(1))
}

//! Prompts that several engines process together.

use std::time;

use googletest::prelude::*;

use crate::{fixture, server};

/// Sizes of a request whose prompt does not fit into the memory of one engine.
const LONG_PROMPT: &str = "700000,100";

/// Time in which reservations are renewed.
const RENEWAL_TIME: time::Duration = time::Duration::from_millis(2_000);

/// Returns the reservations named by the orders with operation `op` that a server received.
fn orders(server: &server::Server, op: &str) -> Vec<String> {
    let got = server.got().into_iter();
    let got = got.filter(|got| got.path == "/api/order");
    let orders = got.map(|got| serde_json::from_slice::<serde_json::Value>(&got.body).unwrap());
    let orders = orders.filter(|order| order["op"] == op);
    orders
        .map(|order| order["id"].as_str().unwrap().to_owned())
        .collect()
}

/// Starts four engines and an entry that has read the list of them.
async fn engines_and_entry() -> (fixture::Fixture, Vec<server::Server>, fixture::Entry) {
    let mut engines = Vec::new();
    for i in 0..4 {
        engines.push(server::Server::bind(&format!("i-{i}")).await);
    }
    let f = fixture::Fixture::with(&engines.iter().collect::<Vec<_>>()).await;
    f.configure_engine(2).await;
    let entry = f.entry("entry-1").await.ready().await;
    fixture::wait_until("the engines", || {
        let now = entry.cx.now();
        let version = entry.cx.routes().map(|routes| routes.version);
        version == Some(2) && entry.cx.state().view.servers_of("runners", now).count() == 4
    })
    .await;
    (f, engines, entry)
}

/// Waits until all reservations have been released, and returns them.
async fn released(engines: &[server::Server]) -> Vec<String> {
    let reserved: Vec<String> = engines.iter().flat_map(|e| orders(e, "reserve")).collect();
    fixture::wait_until("the releases", || {
        let released: Vec<String> = engines.iter().flat_map(|e| orders(e, "release")).collect();
        reserved.iter().all(|id| released.contains(id))
    })
    .await;
    reserved
}

#[gtest]
#[tokio::test]
async fn memory_is_reserved_for_a_long_prompt_and_released_after_it() -> Result<()> {
    let (f, engines, entry) = engines_and_entry().await;

    let headers = [("token-usage", LONG_PROMPT)];
    let seen = f.send_with(&entry, "POST", "/long/a", "", &headers).await;
    let reserved = released(&engines).await;

    let sent = engines.iter().flat_map(server::Server::got);
    let sent: Vec<_> = sent.filter(|got| got.path == "/long/a").collect();
    let helpers = sent[0].header("helpers").unwrap_or_default().to_owned();
    expect_that!(seen.status, eq(200));
    expect_that!(sent.len(), eq(1));
    expect_that!(reserved, not(is_empty()));
    for id in &reserved {
        expect_that!(helpers, contains_substring(id.as_str()));
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn memory_is_released_if_the_server_does_not_begin() -> Result<()> {
    let (f, engines, entry) = engines_and_entry().await;
    for engine in &engines {
        engine.respond_with(server::Response::Silent);
    }

    let headers = [("token-usage", LONG_PROMPT)];
    let seen = f.send_with(&entry, "POST", "/long/a", "", &headers).await;
    let reserved = released(&engines).await;

    // Not 504, because the client's deadline has not passed.
    expect_that!(seen.status, eq(502));
    verify_that!(reserved, not(is_empty()))
}

/// Sends a long prompt that its engine does not begin to answer, and returns the orders to reserve
/// memory up to `RENEWAL_TIME` after `disturb` was called with that engine.
async fn orders_for_a_silent_engine(disturb: impl Fn(&server::Server)) -> Vec<String> {
    let (f, engines, entry) = engines_and_entry().await;
    for engine in &engines {
        engine.respond_with(server::Response::Silent);
    }
    let headers = [("token-usage", LONG_PROMPT)];
    let is_asked = |engine: &&server::Server| engine.got().iter().any(|got| got.path == "/long/a");
    let disturbing = async {
        let is_any_asked = || engines.iter().any(|engine| is_asked(&engine));
        fixture::wait_until("the request", is_any_asked).await;
        engines.iter().filter(is_asked).for_each(disturb);
        tokio::time::sleep(RENEWAL_TIME).await;
    };

    tokio::select! {
        seen = f.send_with(&entry, "POST", "/long/a", "", &headers) => panic!("ended: {seen:?}"),
        () = disturbing => {}
    }
    engines.iter().flat_map(|e| orders(e, "reserve")).collect()
}

fn is_renewed(orders: &[String]) -> bool {
    let mut ids = orders.to_vec();
    ids.sort_unstable();
    ids.dedup();
    orders.len() > ids.len()
}

// Guards against memory that stays reserved for longer than allowed after the server that uses it and
// then the entry have ended (LEAK).
#[gtest]
#[tokio::test]
async fn memory_is_not_reserved_again_for_a_server_that_is_not_reached() -> Result<()> {
    let orders = orders_for_a_silent_engine(server::Server::refuse_new_connections).await;

    expect_that!(orders, not(is_empty()));
    verify_that!(is_renewed(&orders), eq(false))
}

// Guards against memory that is released while the server that uses it still reads the prompt.
#[gtest]
#[tokio::test]
async fn memory_is_reserved_again_for_a_server_that_is_reached() -> Result<()> {
    let orders = orders_for_a_silent_engine(|_| {}).await;

    verify_that!(is_renewed(&orders), eq(true))
}

//! The listener: who may see what, and what a drained entry still does.

use std::{sync, time};

use googletest::prelude::*;

use crate::fakes::{operator, world};

#[gtest]
#[tokio::test]
async fn request_is_seen_by_its_account_alone() -> Result<()> {
    let world = world::World::start().await;
    let answer = world.complete(world::PROMPT, 5_000).await;
    let id = answer.headers["x-request-id"].to_str().unwrap().to_owned();
    let path = format!("/v1/requests/{id}");
    let others = http::Request::builder()
        .uri(format!("http://{}{path}", world.server.local_addr()))
        .header("authorization", format!("Bearer {}", world::OTHER_KEY));

    let own = world.send(world.request("GET", &path), "").await;
    let other = world.send(others, "").await;

    verify_that!(own.outcome(), eq("completed"))?;
    verify_that!(other.status, eq(404))?;
    verify_that!(other.code(), eq("request_not_found"))
}

#[gtest]
#[tokio::test]
async fn operators_calls_need_the_operators_key() -> Result<()> {
    let world = world::World::start().await;
    let status = |key: &str| {
        http::Request::builder()
            .uri(format!(
                "http://{}/operator/status",
                world.server.local_addr()
            ))
            .header("authorization", format!("Bearer {key}"))
    };

    let account = world.send(status(world::KEY), "").await;
    let operator = world.send(status(operator::OPERATOR_KEY), "").await;

    verify_that!(account.status, eq(403))?;
    verify_that!(operator.status, eq(200))?;
    let body = operator.json();
    verify_that!(body["servers"].as_array().map(Vec::len), some(eq(5)))?;
    verify_that!(body["platform_calls"]["watch"].as_u64(), some(eq(1)))?;
    verify_that!(body["bytes"]["peers_sent"].as_u64(), some(eq(7)))
}

#[gtest]
#[tokio::test]
async fn explanation_names_the_decision_and_every_candidate() -> Result<()> {
    let world = world::World::start().await;
    world.control.change(|s| {
        s.data_centres_out.insert("west".to_owned());
    });
    let explain = |tokens: u64| {
        http::Request::builder()
            .uri(format!(
                "http://{}/operator/explain?model=drafts&account=bindery&tokens={tokens}",
                world.server.local_addr()
            ))
            .header(
                "authorization",
                format!("Bearer {}", operator::OPERATOR_KEY),
            )
    };

    let short = world.send(explain(100), "").await.json();
    let long = world.send(explain(1_500), "").await.json();

    verify_that!(short["candidates"].as_array().map(Vec::len), some(eq(3)))?;
    verify_that!(
        short["candidates"][2]["reason"].as_str(),
        some(eq("its data centre is out of service"))
    )?;
    verify_that!(
        long["decision"]["servers"].as_array().map(Vec::len),
        some(eq(2))
    )
}

#[gtest]
#[tokio::test]
async fn drained_entry_refuses_new_work_and_still_tells_fates() -> Result<()> {
    let world = world::World::start().await;
    let before = world.complete(world::PROMPT, 5_000).await;
    let id = before.headers["x-request-id"].to_str().unwrap().to_owned();

    world.server.begin_drain();

    let refused = world.complete(world::PROMPT, 5_000).await;
    let ready = world.send(world.request("GET", "/readyz"), "").await;
    let fate = world
        .send(world.request("GET", &format!("/v1/requests/{id}")), "")
        .await;
    verify_that!(refused.code(), eq("entry_leaving"))?;
    verify_that!(refused.outcome(), eq("not_run"))?;
    verify_that!(ready.status, eq(503))?;
    verify_that!(fate.outcome(), eq("completed"))
}

#[gtest]
#[tokio::test]
async fn lists_are_in_the_documented_form() -> Result<()> {
    let world = world::World::start().await;

    let models = world
        .send(world.request("GET", "/v1/models"), "")
        .await
        .json();
    let entries = world
        .send(world.request("GET", "/v1/entries"), "")
        .await
        .json();

    verify_that!(models["data"][0]["id"].as_str(), some(eq("drafts")))?;
    verify_that!(models["data"][1]["id"].as_str(), some(eq("hymnal")))?;
    verify_that!(
        entries["entries"][0]["url"].as_str(),
        some(eq("http://127.0.0.1:1"))
    )?;
    verify_that!(entries["ttl_ms"].as_u64(), some(eq(10_000)))
}

#[gtest]
#[tokio::test]
async fn entries_are_weighed_from_the_callers_data_centre() -> Result<()> {
    let world = world::World::start().await;
    world.control.change(|s| {
        let mut west = s.members["entry-1"].clone();
        west.vm = "entry-2".to_owned();
        west.data_centre = "west".to_owned();
        s.members.insert(west.vm.clone(), west);
        s.latencies
            .insert("west".to_owned(), time::Duration::from_millis(5));
        let mut text = mustardshed::config::text::Text::clone(&s.text);
        let west = mustardshed::config::text::DataCentre {
            name: "west".to_owned(),
            region: "r".to_owned(),
        };
        text.data_centres.insert(west.name.clone(), west);
        s.text = sync::Arc::new(text);
    });

    let mut seen = Vec::new();
    for path in ["/v1/entries", "/v1/entries?data_centre=west"] {
        let list = world.send(world.request("GET", path), "").await.json();
        let weight = |i: usize| list["entries"][i]["weight"].as_u64();
        seen.push((weight(0), weight(1)));
    }

    verify_that!(seen[0], eq((Some(100), Some(12))))?;
    verify_that!(seen[1], eq((Some(12), Some(100))))
}

#[gtest]
#[tokio::test]
async fn overloaded_dependency_sheds_at_the_top() -> Result<()> {
    let world = world::World::start().await;
    world.control.change(|s| {
        let mut text = mustardshed::config::text::Text::clone(&s.text);
        let drafts = text.services.get_mut("drafts").unwrap();
        drafts.depends_on = vec!["ledger".to_owned()];
        s.text = sync::Arc::new(text);
        for server in s.servers.values_mut().filter(|s| s.kind == "ledger") {
            server.running = 8;
        }
    });

    let answer = world.complete(world::PROMPT, 5_000).await;

    verify_that!(answer.code(), eq("dependency_overloaded"))?;
    verify_that!(answer.outcome(), eq("not_run"))?;
    verify_that!(world.servers.count("generate"), eq(0))
}

#[gtest]
#[tokio::test]
async fn fate_that_is_not_known_is_not_called_not_run() -> Result<()> {
    let world = world::World::start().await;

    let answer = world.send(world.request("GET", "/v1/requests/x"), "").await;

    verify_that!(answer.status, eq(404))?;
    verify_that!(answer.outcome(), eq("unknown"))
}

#[gtest]
#[tokio::test]
async fn entry_without_a_configuration_calls_no_key_wrong() -> Result<()> {
    let world = world::World::start().await;
    world.control.change(|snapshot| {
        snapshot.generation = 0;
        snapshot.text = sync::Arc::default();
    });

    let list = world.send(world.request("GET", "/v1/entries"), "").await;
    let completion = world.complete(world::PROMPT, 5_000).await;

    for answer in [list, completion] {
        verify_that!(answer.status, eq(503))?;
        verify_that!(answer.code(), eq("configuration_stale"))?;
    }
    Ok(())
}

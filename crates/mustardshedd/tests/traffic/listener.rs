//! The listener: access to requests and operators' calls, lists, and draining.

use std::{sync, time};

use googletest::prelude::*;

use crate::fakes::{entry, operator};

#[gtest]
#[tokio::test]
async fn request_is_visible_to_its_account_only() -> Result<()> {
    let entry = entry::Entry::start().await;
    let response = entry.complete(entry::PROMPT, 5_000).await;
    let id = response.headers["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    let path = format!("/v1/requests/{id}");
    let others = http::Request::builder()
        .uri(format!("http://{}{path}", entry.server.local_addr()))
        .header("authorization", format!("Bearer {}", entry::OTHER_KEY));

    let own = entry.send(entry.request("GET", &path), "").await;
    let other = entry.send(others, "").await;

    verify_that!(own.outcome(), eq("completed"))?;
    verify_that!(other.status, eq(404))?;
    verify_that!(other.code(), eq("request_not_found"))
}

#[gtest]
#[tokio::test]
async fn operators_calls_need_the_operators_key() -> Result<()> {
    let entry = entry::Entry::start().await;
    let status = |key: &str| {
        http::Request::builder()
            .uri(format!(
                "http://{}/operator/status",
                entry.server.local_addr()
            ))
            .header("authorization", format!("Bearer {key}"))
    };

    let account = entry.send(status(entry::KEY), "").await;
    let operator = entry.send(status(operator::OPERATOR_KEY), "").await;

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
    let entry = entry::Entry::start().await;
    entry.control.change(|s| {
        s.data_centres_out.insert("west".to_owned());
    });
    let explain = |tokens: u64| {
        http::Request::builder()
            .uri(format!(
                "http://{}/operator/explain?model=drafts&account=bindery&tokens={tokens}",
                entry.server.local_addr()
            ))
            .header(
                "authorization",
                format!("Bearer {}", operator::OPERATOR_KEY),
            )
    };

    let short = entry.send(explain(100), "").await.json();
    let long = entry.send(explain(1_500), "").await.json();

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
async fn draining_entry_refuses_new_work_and_still_reports_fates() -> Result<()> {
    let entry = entry::Entry::start().await;
    let before = entry.complete(entry::PROMPT, 5_000).await;
    let id = before.headers["x-request-id"].to_str().unwrap().to_owned();

    entry.server.begin_drain();

    let refused = entry.complete(entry::PROMPT, 5_000).await;
    let ready = entry.send(entry.request("GET", "/readyz"), "").await;
    let fate = entry
        .send(entry.request("GET", &format!("/v1/requests/{id}")), "")
        .await;
    verify_that!(refused.code(), eq("entry_leaving"))?;
    verify_that!(refused.outcome(), eq("not_run"))?;
    verify_that!(ready.status, eq(503))?;
    verify_that!(fate.outcome(), eq("completed"))
}

#[gtest]
#[tokio::test]
async fn lists_are_in_the_documented_format() -> Result<()> {
    let entry = entry::Entry::start().await;

    let models = entry
        .send(entry.request("GET", "/v1/models"), "")
        .await
        .json();
    let entries = entry
        .send(entry.request("GET", "/v1/entries"), "")
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
    let entry = entry::Entry::start().await;
    entry.control.change(|s| {
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
        let list = entry.send(entry.request("GET", path), "").await.json();
        let weight = |i: usize| list["entries"][i]["weight"].as_u64();
        seen.push((weight(0), weight(1)));
    }

    verify_that!(seen[0], eq((Some(100), Some(12))))?;
    verify_that!(seen[1], eq((Some(12), Some(100))))
}

#[gtest]
#[tokio::test]
async fn request_with_an_overloaded_dependency_is_refused_at_the_entry() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.control.change(|s| {
        let mut text = mustardshed::config::text::Text::clone(&s.text);
        let drafts = text.services.get_mut("drafts").unwrap();
        drafts.depends_on = vec!["ledger".to_owned()];
        s.text = sync::Arc::new(text);
        for server in s.servers.values_mut().filter(|s| s.kind == "ledger") {
            server.running = 8;
        }
    });

    let response = entry.complete(entry::PROMPT, 5_000).await;

    verify_that!(response.code(), eq("dependency_overloaded"))?;
    verify_that!(response.outcome(), eq("not_run"))?;
    verify_that!(entry.servers.count("generate"), eq(0))
}

#[gtest]
#[tokio::test]
async fn unknown_fate_is_not_reported_not_run() -> Result<()> {
    let entry = entry::Entry::start().await;

    let response = entry.send(entry.request("GET", "/v1/requests/x"), "").await;

    verify_that!(response.status, eq(404))?;
    verify_that!(response.outcome(), eq("unknown"))
}

#[gtest]
#[tokio::test]
async fn entry_without_a_configuration_rejects_no_key() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.control.change(|snapshot| {
        snapshot.generation = 0;
        snapshot.text = sync::Arc::default();
    });

    let list = entry.send(entry.request("GET", "/v1/entries"), "").await;
    let completion = entry.complete(entry::PROMPT, 5_000).await;

    for response in [list, completion] {
        verify_that!(response.status, eq(503))?;
        verify_that!(response.code(), eq("configuration_stale"))?;
    }
    Ok(())
}

// Guards against an entry that is ready, and refuses prompts, since it has not read any server.
#[gtest]
#[tokio::test]
async fn entry_that_knows_no_backend_server_is_not_ready() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.control.change(|s| {
        for server in s.servers.values_mut() {
            server.reported_at = time::Duration::from_millis(1);
        }
    });
    let with_servers = entry.send(entry.request("GET", "/readyz"), "").await;

    entry.control.change(|s| s.servers.clear());
    let without = entry.send(entry.request("GET", "/readyz"), "").await;

    verify_that!(with_servers.status, eq(200))?;
    verify_that!(without.status, eq(503))?;
    verify_that!(without.code(), eq("no_backend_server"))
}

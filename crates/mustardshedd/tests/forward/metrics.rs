//! Metrics, compared with the requests that servers received.

use googletest::prelude::*;

use crate::{
    fixture,
    server::{self, Response},
};

/// Sums up the samples of a metric that have `label` as value of some label; of all samples if it
/// is empty.
pub(crate) fn sum(text: &str, name: &str, label: &str) -> f64 {
    let lines = text.lines().map(|line| Ok(line.to_owned()));
    let scrape = prometheus_parse::Scrape::parse(lines).unwrap();
    let samples = scrape.samples.iter().filter(|sample| sample.metric == name);
    let samples = samples
        .filter(|sample| label.is_empty() || sample.labels.iter().any(|(_, value)| value == label));
    let values = samples.map(|sample| match sample.value {
        prometheus_parse::Value::Counter(value)
        | prometheus_parse::Value::Gauge(value)
        | prometheus_parse::Value::Untyped(value) => value,
        _ => panic!("the metric {name} is no counter or gauge"),
    });
    values.sum()
}

#[gtest]
#[tokio::test]
async fn counters_agree_with_the_requests_that_servers_received() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    for _ in 0..5 {
        f.send(&entry, "GET", "/again/a", "").await;
    }
    server.respond_with(Response::Closed);
    f.send(&entry, "POST", "/once/a", "").await;
    f.send(&entry, "GET", "/nowhere/", "").await;

    let text = f
        .read(entry.cx.settings.metrics.unwrap(), "/metrics")
        .await
        .body;

    let answered = sum(&text, "mustardshed_attempts_total", "answered");
    let unknown = sum(&text, "mustardshed_attempts_total", "unknown");
    expect_that!(answered, near(5.0, 0.1));
    expect_that!(answered + unknown, near(6.0, 0.1));
    expect_that!(server.got().len(), eq(6));
    expect_that!(
        sum(&text, "mustardshed_requests_total", "idempotent"),
        near(5.0, 0.1)
    );
    expect_that!(
        sum(&text, "mustardshed_refusals_total", "fate_unknown"),
        near(1.0, 0.1)
    );
    expect_that!(
        sum(&text, "mustardshed_refusals_total", "unknown_route"),
        near(1.0, 0.1)
    );
    expect_that!(
        sum(&text, "mustardshed_configuration_version", ""),
        near(1.0, 0.1)
    );
    verify_that!(sum(&text, "mustardshed_store_calls", "servers"), ge(1.0))
}

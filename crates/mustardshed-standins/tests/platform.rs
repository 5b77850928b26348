//! The platform's stand-in and its faults, seen through the product's client.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

use std::{net, sync, time};

use googletest::prelude::*;
use mustardshed::{
    core::boundary::platform::{self, Platform},
    platform::{client, objects},
};
use mustardshed_standins::{
    http, json_client,
    platform::{self as standin, store},
};
use serde_json::json;

const TIMEOUT: time::Duration = time::Duration::from_secs(20);
const KIND: platform::ObjectKind = platform::ObjectKind::Claim;
const PURPOSE: platform::Purpose = platform::Purpose::Claim;

struct Fixture {
    server: http::Server,
    client: sync::Arc<client::Client>,
    http: json_client::JsonClient,
}

impl Fixture {
    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.server.url())
    }

    async fn admin(&self, path: &str, body: serde_json::Value) -> json_client::Answer {
        let url = self.url(&format!("admin/{path}"));
        self.http.put(&url, &body).await.unwrap()
    }

    async fn faults(&self, faults: serde_json::Value) {
        let answer = self.admin("faults", faults).await;
        assert_that!(answer.status, eq(200), "{:?}", answer.body);
    }

    async fn post(&self, path: &str) {
        let nothing = serde_json::Value::Null;
        let answer = self.http.post(&self.url(path), &nothing).await.unwrap();
        assert_that!(answer.status, eq(200));
    }

    async fn counted(&self) -> serde_json::Value {
        self.read("admin/calls").await
    }

    async fn writes(&self) -> serde_json::Value {
        self.read("admin/writes").await
    }

    async fn read(&self, path: &str) -> serde_json::Value {
        self.http.get(&self.url(path)).await.unwrap().body
    }

    async fn create(&self, name: &str, value: &str) -> Result<u64, platform::PlatformError> {
        self.put(name, 0, value).await
    }

    async fn put(
        &self,
        name: &str,
        expected: u64,
        value: &str,
    ) -> Result<u64, platform::PlatformError> {
        self.client
            .put(PURPOSE, KIND, name, expected, value.into())
            .await
    }

    async fn get(&self, name: &str) -> Result<Option<platform::Object>, platform::PlatformError> {
        self.client.get(PURPOSE, KIND, name).await
    }

    fn watch(
        &self,
        name: &'static str,
        since: u64,
        patience: time::Duration,
    ) -> impl Future<Output = Result<Option<platform::Object>, platform::PlatformError>> + use<>
    {
        let client = sync::Arc::clone(&self.client);
        async move { client.watch(PURPOSE, KIND, name, since, patience).await }
    }
}

type Result<T, E> = std::result::Result<T, E>;

async fn fixture() -> Fixture {
    let server = standin::bind(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)))
        .await
        .unwrap();
    let client = client::Client::open(&server.url(), "entry-1", TIMEOUT).unwrap();
    Fixture {
        server,
        client: sync::Arc::new(client),
        http: json_client::JsonClient::open(),
    }
}

fn object(name: &str, version: u64, value: &str) -> platform::Object {
    platform::Object {
        name: name.to_owned(),
        version,
        value: value.into(),
    }
}

#[tokio::test]
async fn conditional_updates_take_effect_only_at_the_expected_version() {
    let f = fixture().await;

    let created = f.create("a", "one").await;
    let created_again = f.create("a", "two").await;
    let other = f.create("b", "").await;
    let updated = f.put("a", 1, "three").await;
    let late = f.put("a", 1, "four").await;
    let missing = f.put("c", 7, "five").await;

    assert_that!(created, ok(eq(&1)));
    assert_that!(
        created_again,
        err(eq(&platform::PlatformError::Conflict(1)))
    );
    assert_that!(other, ok(eq(&2)));
    assert_that!(updated, ok(eq(&3)));
    assert_that!(late, err(eq(&platform::PlatformError::Conflict(3))));
    assert_that!(missing, err(eq(&platform::PlatformError::Conflict(0))));
    assert_that!(f.get("a").await, ok(some(eq(&object("a", 3, "three")))));
    assert_that!(f.get("c").await, ok(none()));
}

#[tokio::test]
async fn deletion_is_conditional_and_lets_the_name_be_created_again() {
    let f = fixture().await;
    f.create("a", "one").await.unwrap();

    let late = f.client.delete(PURPOSE, KIND, "a", 9).await;
    let deleted = f.client.delete(PURPOSE, KIND, "a", 1).await;
    let gone = f.client.delete(PURPOSE, KIND, "a", 1).await;

    assert_that!(late, err(eq(&platform::PlatformError::Conflict(1))));
    assert_that!(deleted, ok(anything()));
    assert_that!(gone, err(eq(&platform::PlatformError::Conflict(0))));
    assert_that!(f.get("a").await, ok(none()));
    assert_that!(f.create("a", "two").await, ok(gt(&2)));
}

#[tokio::test]
async fn list_returns_the_objects_of_the_prefix_in_order() {
    let f = fixture().await;
    for name in ["b.2", "a.1", "b.1", "c"] {
        f.create(name, name).await.unwrap();
    }

    let listed = f.client.list(PURPOSE, KIND, "b.").await.unwrap();

    assert_that!(
        listed,
        elements_are![eq(&object("b.1", 3, "b.1")), eq(&object("b.2", 1, "b.2"))]
    );
}

/// Names with characters that a URL reserves or does not hold.
const ODD_NAMES: [&str; 10] = [
    "&a", "#a", "+a", "%21!", "a b", "a\"b", "a\tb", "?a", "a/b", "é",
];

// Guards against a stand-in that refuses names which the platform takes.
#[tokio::test]
async fn object_may_have_any_name() {
    let f = fixture().await;
    for name in ODD_NAMES {
        let body = json!({ "metadata": { "name": name }, "spec": 1 });
        let encoded =
            percent_encoding::utf8_percent_encode(name, percent_encoding::NON_ALPHANUMERIC);
        let kind_url = f.url("api/objects/servers");
        let url = format!("{kind_url}/{encoded}");

        let created = f.http.post(&kind_url, &body).await.unwrap();
        let replaced = f.http.put(&url, &body).await.unwrap();
        let read = f.http.get(&url).await.unwrap();
        let listed = f.http.get(&kind_url).await.unwrap();
        let rest_url = format!("{kind_url}?after={encoded}");
        let rest = f.http.get(&rest_url).await.unwrap();
        let delete = ::http::Request::delete(&url).body(json_client::Body::default());
        let deleted = f.http.send(delete).await.unwrap();

        let statuses = [created, replaced, read.clone(), deleted].map(|answer| answer.status);
        assert_that!(statuses, eq([200; 4]), "{name}");
        assert_that!(read.body["metadata"]["name"], eq(name));
        assert_that!(listed.body["items"][0]["metadata"]["name"], eq(name));
        assert_that!(rest.body["items"], eq(&json!([])), "{name}");
    }
}

// Guards against calls that reach another object, or none, since a URL cuts or decodes the name.
#[tokio::test]
async fn client_reaches_objects_of_any_name() {
    let f = fixture().await;
    let client = objects::Objects::open(&f.server.address().to_string(), TIMEOUT);
    for name in ODD_NAMES {
        let created = client.create(PURPOSE, "claim", name, "1").await.unwrap();
        let expected = Some(created.revision);

        let replaced = client.replace(PURPOSE, "claim", name, expected, "2").await;
        let read = client.get(PURPOSE, "claim", name).await.unwrap();
        let removed = client.remove(PURPOSE, "claim", name, created.revision + 1);
        let removed = removed.await;
        let gone = client.get(PURPOSE, "claim", name).await.unwrap();

        assert_that!(replaced, ok(anything()), "{name}");
        let content = read.map(|read| (read.name, read.content));
        assert_that!(content, some(eq(&(name.to_owned(), "2".to_owned()))));
        assert_that!(removed, ok(anything()), "{name}");
        assert_that!(gone, none(), "{name}");
    }
}

// Guards against a list that cannot be read since another writer's object looks like an encoded value.
#[tokio::test]
async fn objects_are_listed_beside_one_with_invalid_digits() {
    let f = fixture().await;
    f.create("a", "one").await.unwrap();
    let odd = json!({ "metadata": { "name": "b" }, "spec": { "bytes_hex": "zz" } });
    let url = f.url("api/objects/claim");
    assert_that!(f.http.post(&url, &odd).await.unwrap().status, eq(200));

    let listed = f.client.list(PURPOSE, KIND, "").await;

    let listed = listed.unwrap().into_iter().map(|object| object.name);
    let read = f.get("b").await.unwrap().map(|object| object.value);
    assert_that!(listed.collect::<Vec<_>>(), elements_are![eq("a"), eq("b")]);
    assert_that!(read, some(eq(br#"{"bytes_hex":"zz"}"#)));
}

#[tokio::test]
async fn values_beyond_a_megabyte_are_refused_by_client_and_platform() {
    let f = fixture().await;
    let oversized = vec![7; standin::MAX_VALUE_BYTES + 1];
    let digits = "7".repeat(2 * standin::MAX_VALUE_BYTES + 65);
    let body = format!("{{\"metadata\":{{\"name\":\"c\"}},\"spec\":\"{digits}\"}}");
    let req = ::http::Request::post(f.url("api/objects/claim")).body(body.into());

    let largest = f
        .client
        .put(PURPOSE, KIND, "a", 0, vec![7; standin::MAX_VALUE_BYTES])
        .await;
    let refused = f.client.put(PURPOSE, KIND, "b", 0, oversized).await;
    let answer = f.http.send(req).await.unwrap();

    assert_that!(largest, ok(eq(&1)));
    assert_that!(
        refused,
        err(matches_pattern!(platform::PlatformError::Refused(_)))
    );
    assert_that!(answer.status, eq(413));
}

#[tokio::test]
async fn watch_returns_at_the_write_or_when_its_patience_is_over() {
    let f = fixture().await;
    let version = f.create("a", "one").await.unwrap();

    let waiting = tokio::spawn(f.watch("a", version, time::Duration::from_secs(10)));
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let pending = !waiting.is_finished();
    f.put("a", version, "two").await.unwrap();
    let newer = waiting.await.unwrap();
    let nothing = f.watch("a", 2, time::Duration::from_millis(50)).await;

    assert_that!(pending, eq(true));
    assert_that!(newer, ok(some(eq(&object("a", 2, "two")))));
    assert_that!(nothing, ok(none()));
}

// Guards against watches that wait for a version that a restoration of the store has taken back.
#[tokio::test]
async fn watch_returns_what_a_restored_platform_holds() {
    let f = fixture().await;
    f.create("a", "one").await.unwrap();
    f.post("admin/copy").await;
    let lost = f.put("a", 1, "two").await.unwrap();
    f.put("a", lost, "three").await.unwrap();

    f.post("admin/restore").await;
    let watching = f.watch("a", 3, time::Duration::from_secs(10));
    let restored = watching.await.unwrap().unwrap();
    let waiting = tokio::spawn(f.watch("a", restored.version, time::Duration::from_secs(10)));
    let written = f.put("a", restored.version, "four").await.unwrap();
    let newer = waiting.await.unwrap();

    assert_that!(restored.value, eq(b"one"));
    assert_that!(restored.version, gt(3));
    assert_that!(newer, ok(some(eq(&object("a", written, "four")))));
}

#[tokio::test]
async fn outage_refuses_every_call_and_ends_waiting_watches() {
    let f = fixture().await;
    f.create("a", "one").await.unwrap();

    let waiting = tokio::spawn(f.watch("a", 1, time::Duration::from_secs(10)));
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    f.faults(json!({ "outage": true })).await;
    let watch = waiting.await.unwrap();
    let read = f.get("a").await;
    let written = f.put("a", 1, "two").await;
    let listed = f.client.vms().await;
    f.faults(json!({ "outage": false })).await;

    let refused = || err(matches_pattern!(platform::PlatformError::Refused(_)));
    assert_that!(watch, refused());
    assert_that!(read, refused());
    assert_that!(written, refused());
    assert_that!(listed, err(anything()));
    assert_that!(f.get("a").await, ok(some(eq(&object("a", 1, "one")))));
}

#[tokio::test]
async fn lost_answers_leave_the_write_in_effect_and_the_caller_untold() {
    let f = fixture().await;
    f.faults(json!({ "lose_answers": 1, "lose_answers_kind": "claim" }))
        .await;

    let lost = f.create("a", "one").await;
    let answered = f.create("b", "two").await;

    assert_that!(
        lost,
        err(matches_pattern!(platform::PlatformError::Unanswered(_)))
    );
    assert_that!(answered, ok(eq(&2)));
    assert_that!(f.get("a").await, ok(some(eq(&object("a", 1, "one")))));
    assert_that!(f.writes().await.as_array().unwrap().len(), eq(2));
}

#[tokio::test]
async fn lost_answers_spare_other_kinds_and_writes_without_effect() {
    let f = fixture().await;
    f.create("a", "one").await.unwrap();
    f.faults(json!({ "lose_answers": 1, "lose_answers_kind": "lease" }))
        .await;

    let other_kind = f.create("b", "two").await;
    f.faults(json!({ "lose_answers_kind": null })).await;
    let conflict = f.create("a", "three").await;
    let lost = f.create("c", "four").await;

    assert_that!(other_kind, ok(eq(&2)));
    assert_that!(conflict, err(eq(&platform::PlatformError::Conflict(1))));
    assert_that!(
        lost,
        err(matches_pattern!(platform::PlatformError::Unanswered(_)))
    );
}

#[tokio::test]
async fn slow_write_takes_effect_after_its_caller_gave_up() {
    let f = fixture().await;
    let patience = time::Duration::from_millis(200);
    let hurried = client::Client::open(&f.server.url(), "entry-2", patience).unwrap();
    f.faults(json!({ "slow_ms": 3_000 })).await;

    let written = hurried.put(PURPOSE, KIND, "a", 0, "one".into()).await;
    let before = f.writes().await;
    f.faults(json!({ "slow_ms": 0 })).await;
    let after = f.watch("a", 0, TIMEOUT).await;

    assert_that!(
        written,
        err(matches_pattern!(platform::PlatformError::Unanswered(_)))
    );
    assert_that!(before, eq(&json!([])));
    assert_that!(after, ok(some(eq(&object("a", 1, "one")))));
}

#[tokio::test]
async fn stale_reads_show_an_earlier_state_but_conditions_see_the_present() {
    let f = fixture().await;
    f.create("a", "one").await.unwrap();

    f.faults(json!({ "stale_reads_ms": 600_000 })).await;
    let stale = f.get("a").await;
    let listed = f.client.list(PURPOSE, KIND, "").await;
    let written = f.create("a", "two").await;
    f.faults(json!({ "stale_reads_ms": 0 })).await;
    let fresh = f.get("a").await;

    assert_that!(stale, ok(none()));
    assert_that!(listed, ok(is_empty()));
    assert_that!(written, err(eq(&platform::PlatformError::Conflict(1))));
    assert_that!(fresh, ok(some(eq(&object("a", 1, "one")))));
}

#[test]
fn store_shows_the_state_of_any_recent_time() {
    let at = time::Duration::from_secs;
    let mut store = store::Store::default();
    let present = store::Expected::At;
    store
        .put("claim", "a", store::Expected::Missing, "one".into(), at(10))
        .unwrap();
    store
        .put("claim", "a", present(1), "two".into(), at(20))
        .unwrap();
    store.delete("claim", "a", present(2), at(30)).unwrap();

    let shown = |time| store.get("claim", "a", time)?.value.clone();

    assert_that!(shown(at(9)), none());
    assert_that!(shown(at(10)), some(eq("one")));
    assert_that!(shown(at(19)), some(eq("one")));
    assert_that!(shown(at(29)), some(eq("two")));
    assert_that!(shown(at(30)), none());
}

#[tokio::test]
async fn list_of_vms_lags_behind_its_changes() {
    let f = fixture().await;
    f.faults(json!({ "list_lag_ms": 600_000 })).await;

    let listed = f.admin("vms/entry-1", entry("entry-1", "live")).await;
    let lagging = f.client.vms().await;
    f.faults(json!({ "list_lag_ms": 0 })).await;
    let present = f.client.vms().await.unwrap();

    assert_that!(listed.status, eq(200));
    assert_that!(lagging, ok(is_empty()));
    assert_that!(
        present,
        elements_are![eq(&platform::Vm {
            id: "entry-1".to_owned(),
            role: platform::VmRole::Entry,
            address: "127.0.0.1:1".to_owned(),
            peer_address: "127.0.0.1:2".to_owned(),
            data_centre: "north".to_owned(),
            state: platform::VmState::Live,
        })]
    );
}

#[tokio::test]
async fn cut_callers_are_refused_while_others_are_served() {
    let f = fixture().await;
    let other = client::Client::open(&f.server.url(), "entry-2", TIMEOUT).unwrap();
    f.faults(json!({ "cut": ["entry-1"] })).await;

    let cut = f.create("a", "one").await;
    let served = other.put(PURPOSE, KIND, "a", 0, "two".into()).await;

    assert_that!(
        cut,
        err(matches_pattern!(platform::PlatformError::Refused(_)))
    );
    assert_that!(served, ok(eq(&1)));
}

#[tokio::test]
async fn calls_are_counted_by_kind_purpose_and_caller_at_both_ends() {
    let f = fixture().await;

    f.create("a", "one").await.unwrap();
    f.get("a").await.unwrap();
    f.watch("a", 0, TIMEOUT).await.unwrap();
    f.client.vms().await.unwrap();
    let counted = f.counted().await;

    assert_that!(
        counted,
        eq(&json!({
            "total": 4,
            "by_kind": { "get": 1, "put": 1, "vms": 1, "watch": 1 },
            "by_purpose": { "claim": 3, "members": 1 },
            "by_caller": { "entry-1": { "claim": 3, "members": 1 } },
        }))
    );
    assert_that!(f.client.calls().claim, eq(3));
    assert_that!(f.client.calls().members, eq(1));
    assert_that!(f.client.calls().total(), eq(4));
}

#[tokio::test]
async fn wrong_administration_is_refused_with_a_reason() {
    let f = fixture().await;
    let wrong = [
        ("faults", json!({ "outrage": true })),
        ("faults", json!({ "slow_ms": 600_001 })),
        ("faults", json!({ "outage": "yes" })),
        ("vms/entry-2", entry("entry-1", "live")),
        ("vms/entry-1", entry("entry-1", "asleep")),
        ("vms/entry-1", json!({ "id": "entry-1" })),
    ];

    for (path, body) in wrong {
        let answer = f.admin(path, body).await;

        assert_that!(answer.status, eq(400));
        assert_that!(answer.body["reason"].as_str(), some(not(eq(""))));
    }
}

#[tokio::test]
async fn unreachable_platform_refuses_writes_since_nothing_was_sent() {
    let f = fixture().await;
    let url = f.server.url();
    drop(f.server);
    let client = client::Client::open(&url, "entry-1", TIMEOUT).unwrap();

    let written = client.put(PURPOSE, KIND, "a", 0, "one".into()).await;

    assert_that!(
        written,
        err(matches_pattern!(platform::PlatformError::Refused(_)))
    );
}

fn entry(id: &str, state: &str) -> serde_json::Value {
    json!({
        "id": id,
        "role": "entry",
        "address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "data_centre": "north",
        "state": state,
    })
}

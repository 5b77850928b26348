//! Lists of the platform's objects that cannot be read to their end.

use std::time;

use googletest::prelude::*;
use mustardshed::{platform::objects, platform::topic::Topic, wire::forward};
use mustardshedd::forward::view;
use serde_json::json;

use crate::{fixture, server};

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// A platform whose list of servers cannot be read behind its first object.
struct Cut {
    fixture: fixture::Fixture,
    /// The server that is listed before all others.
    first: server::Server,
    /// The server that is listed behind those whose names cannot be read.
    last: server::Server,
}

impl Cut {
    async fn open() -> Self {
        let first = server::Server::bind("!").await;
        let last = server::Server::bind("z-1").await;
        let fixture = fixture::Fixture::with(&[&first, &last]).await;
        fixture.fill_page("servers", 0).await;
        Self {
            fixture,
            first,
            last,
        }
    }

    /// Hides the names of all servers between the first one and the last one, or shows them again.
    async fn hide_names(&self, is_hidden: bool) {
        let names = (0..500).filter(|_| is_hidden).map(|i| format!("!{i:03}"));
        let names: Vec<String> = names.collect();
        self.fixture.faults(json!({ "unnamed": names })).await;
    }
}

fn is_usable(entry: &fixture::Entry, id: &str) -> bool {
    entry.cx.state().usable(id, entry.cx.now()).is_some()
}

// Guards against entries that are never ready because a part of the list of servers cannot be read.
#[gtest]
#[tokio::test]
async fn entry_serves_with_the_servers_that_can_be_read() -> Result<()> {
    let cut = Cut::open().await;
    cut.hide_names(true).await;

    let entry = cut.fixture.entry("entry-1").await.ready().await;
    let seen = cut.fixture.send(&entry, "GET", "/again/a", "").await;
    let is_last_known = is_usable(&entry, "z-1");
    cut.hide_names(false).await;
    fixture::wait_until("the whole list", || is_usable(&entry, "z-1")).await;

    expect_that!((seen.status, is_last_known), eq((200, false)));
    verify_that!(cut.first.got().len(), eq(1))
}

// Guards against servers that are lost, or used though they have left, as a list leaves them out.
#[gtest]
#[tokio::test]
async fn known_servers_stay_and_changes_are_followed_beside_a_partial_list() -> Result<()> {
    let cut = Cut::open().await;
    let entry = cut.fixture.entry("entry-1").await.ready().await;
    fixture::wait_until("all servers", || is_usable(&entry, "z-1")).await;
    let is_partial = || entry.cx.state().view.is_partial(Topic::Servers);

    cut.hide_names(true).await;
    cut.fixture.list(&cut.first, "draining", "north").await;
    cut.fixture
        .write("servers", "!000", json!({ "state": 7 }))
        .await;
    fixture::wait_until("a partial list", is_partial).await;
    fixture::wait_until("the first server to leave", || !is_usable(&entry, "!")).await;
    let is_last_kept = is_usable(&entry, "z-1");
    cut.fixture.list(&cut.last, "draining", "north").await;
    fixture::wait_until("the last server to leave", || !is_usable(&entry, "z-1")).await;

    expect_that!(is_last_kept, eq(true));
    verify_that!(is_partial(), eq(true))
}

// Guards against a list with a gap that a peer takes for whole, and against one that stays partial
// beside a peer that knows the rest.
#[gtest]
#[tokio::test]
async fn peer_completes_a_partial_list() -> Result<()> {
    let cut = Cut::open().await;
    let knowing = cut.fixture.entry("entry-1").await.ready().await;
    cut.hide_names(true).await;

    let starting = cut.fixture.entry("entry-2").await.ready().await;
    fixture::wait_until_acquainted(&[&knowing, &starting]).await;
    fixture::wait_until("the rest of the list", || is_usable(&starting, "z-1")).await;

    verify_that!(is_usable(&knowing, "z-1"), eq(true))
}

fn position(revision: u64) -> objects::Position {
    objects::Position { era: 1, revision }
}

/// Returns a list of objects with these names, each changed at a revision.
fn listing(revision: u64, listed: &[(&str, u64)], gap: Option<objects::Gap>) -> objects::Listing {
    let objects = listed.iter().map(|(name, changed)| {
        let object = objects::Object {
            name: (*name).to_owned(),
            position: position(*changed),
            content: r#"{"version":1}"#.to_owned(),
        };
        (object.name.clone(), object)
    });
    objects::Listing {
        objects: objects.collect(),
        position: position(revision),
        unnamed: 0,
        gap,
    }
}

fn names(view: &view::View) -> Vec<String> {
    let objects = view.objects(Topic::Outages).into_iter();
    objects.map(|object| object.name).collect()
}

// Guards against objects that were removed and stay since a later list is partial.
#[gtest]
fn partial_list_keeps_only_what_it_leaves_out() -> Result<()> {
    let mut view = view::View::default();
    let topic = Topic::Outages;
    let whole = listing(10, &[("a", 1), ("b", 2), ("y", 3), ("z", 4)], None);
    view.apply_listing(topic, whole, ms(1_000), ms(1_000));

    let partial = listing(20, &[("a", 1), ("c", 15)], Some(objects::Gap::NoCursor));
    view.apply_listing(topic, partial, ms(2_000), ms(2_000));

    expect_that!(
        names(&view),
        elements_are![eq("a"), eq("c"), eq("y"), eq("z")]
    );
    expect_that!(view.age(topic, ms(2_000)), some(eq(ms(1_000))));
    verify_that!(view.topic_state(topic, ms(2_000)).is_none(), eq(true))
}

// Guards against a whole list of a peer that is ignored since the partial one was read later, and
// against changes between the two that are passed over.
#[gtest]
fn whole_list_completes_a_later_partial_one() -> Result<()> {
    let mut view = view::View::default();
    let topic = Topic::Outages;
    let partial = listing(20, &[("a", 1), ("b", 18)], Some(objects::Gap::NoCursor));
    view.apply_listing(topic, partial, ms(2_000), ms(2_000));
    let peer = forward::TopicState {
        revision: 15,
        era: 1,
        age_ms: 10,
        is_failing: false,
    };

    let is_wanted = view.observe_peer(topic, peer, ms(2_100), false);
    let whole = listing(15, &[("a", 1), ("b", 2), ("z", 4)], None);
    view.apply_listing(topic, whole, ms(2_100), ms(2_110));
    let changes = objects::Changes {
        changes: vec![objects::Change::Removed("a".to_owned())],
        from: position(20),
        position: position(21),
        unnamed: 0,
    };
    view.apply_diff(topic, changes, ms(2_000), ms(2_120));

    expect_that!(is_wanted, eq(true));
    expect_that!(names(&view), elements_are![eq("a"), eq("b"), eq("z")]);
    expect_that!(view.objects(topic)[1].revision, eq(18));
    verify_that!(view.position(topic), some(eq(position(15))))
}

// Guards against keys that are accepted for ever, or refused, since other objects of the kind of the
// configuration cannot be read.
#[gtest]
fn configuration_is_confirmed_by_a_partial_list_only_if_that_holds_it() -> Result<()> {
    let mut view = view::View::default();
    let topic = Topic::Configuration;
    let gap = Some(objects::Gap::NoCursor);
    view.apply_listing(
        topic,
        listing(10, &[("main", 1)], None),
        ms(1_000),
        ms(1_000),
    );

    view.apply_listing(topic, listing(20, &[("a", 15)], gap), ms(2_000), ms(2_000));
    let age_without = view.configuration_age(ms(2_000));
    let is_superseded = view.is_configuration_superseded();
    view.apply_listing(
        topic,
        listing(30, &[("main", 1)], gap),
        ms(3_000),
        ms(3_000),
    );

    expect_that!(age_without, some(eq(ms(1_000))));
    expect_that!(is_superseded, eq(false));
    verify_that!(view.configuration_age(ms(3_000)), some(eq(ms(0))))
}

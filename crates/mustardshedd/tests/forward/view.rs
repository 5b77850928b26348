//! Platform data that an entry learns from its peers.

use std::time;

use googletest::prelude::*;
use mustardshed::{platform::objects, platform::topic::Topic, wire::forward};
use mustardshedd::forward::view;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

const fn position(era: u64, revision: u64) -> objects::Position {
    objects::Position { era, revision }
}

fn listing(position: objects::Position) -> objects::Listing {
    objects::Listing {
        position,
        ..objects::Listing::default()
    }
}

const fn peer(changed: objects::Position, age_ms: u64) -> forward::TopicState {
    forward::TopicState {
        revision: changed.revision,
        era: changed.era,
        age_ms,
        is_failing: false,
    }
}

#[gtest]
fn later_change_of_a_peer_is_fetched_though_its_read_began_earlier() -> Result<()> {
    let mut view = view::View::default();
    view.apply_listing(
        Topic::Servers,
        listing(position(1, 150)),
        ms(1_750),
        ms(1_754),
    );

    // The peer's watch began at 1,200 ms and returned a change that was made after this entry's
    // list.
    let is_wanted = view.observe_peer(Topic::Servers, peer(position(1, 151), 600), ms(1_800), true);

    verify_that!(is_wanted, eq(true))
}

#[gtest]
fn peer_without_a_later_change_confirms_known_data() -> Result<()> {
    let mut view = view::View::default();
    view.apply_listing(
        Topic::Servers,
        listing(position(1, 150)),
        ms(1_000),
        ms(1_004),
    );

    let is_wanted = view.observe_peer(Topic::Servers, peer(position(1, 149), 100), ms(1_800), true);

    expect_that!(is_wanted, eq(false));
    verify_that!(view.age(Topic::Servers, ms(1_800)), some(eq(ms(100))))
}

// Guards against peers that overrule what was read after a restoration of the platform's store.
#[gtest]
fn data_of_an_earlier_era_is_older_whatever_its_revision() -> Result<()> {
    let mut view = view::View::default();
    view.apply_listing(
        Topic::Servers,
        listing(position(1, 150)),
        ms(1_000),
        ms(1_004),
    );

    let restored = listing(position(2, 90));
    let applied = view.apply_listing(Topic::Servers, restored, ms(2_000), ms(2_004));
    let old = listing(position(1, 160));
    let ignored = view.apply_listing(Topic::Servers, old, ms(2_010), ms(2_014));

    let is_wanted = |view: &mut view::View, at| {
        view.observe_peer(Topic::Servers, peer(at, 10), ms(2_020), true)
    };
    expect_that!([applied.is_ignored, ignored.is_ignored], eq([false, true]));
    expect_that!(view.position(Topic::Servers), some(eq(position(2, 90))));
    expect_that!(is_wanted(&mut view, position(1, 170)), eq(false));
    verify_that!(is_wanted(&mut view, position(3, 1)), eq(true))
}

fn servers(at: objects::Position, listed: &[(&str, &str)]) -> objects::Listing {
    let objects = listed.iter().map(|(name, state)| {
        let content = format!(
            r#"{{"service":"runners","address":"127.0.0.1:1","zone":"north","version":"v1",
            "slots":16,"state":"{state}","cold_left_ms":0,"seq":1,"born":7}}"#
        );
        let object = objects::Object {
            name: (*name).to_owned(),
            position: at,
            content,
        };
        (object.name.clone(), object)
    });
    objects::Listing {
        objects: objects.collect(),
        position: at,
        unnamed: 0,
        gap: None,
    }
}

// Guards against requests to servers that had left before a restoration, and are listed again.
#[gtest]
fn server_that_left_is_not_used_when_a_restored_list_has_it() -> Result<()> {
    let mut view = view::View::default();
    let all = [("stays", "ready"), ("leaves", "ready"), ("gone", "ready")];
    view.apply_listing(
        Topic::Servers,
        servers(position(1, 10), &all),
        ms(1_000),
        ms(1_004),
    );
    let left = [("stays", "ready"), ("leaves", "draining")];
    view.apply_listing(
        Topic::Servers,
        servers(position(1, 12), &left),
        ms(2_000),
        ms(2_004),
    );

    view.apply_listing(
        Topic::Servers,
        servers(position(2, 10), &all),
        ms(5_000),
        ms(5_004),
    );

    let usable = |at| {
        let found = view
            .servers_of("runners", at)
            .map(|server| server.id.as_str());
        found.collect::<Vec<&str>>()
    };
    expect_that!(usable(ms(5_100)), elements_are![eq(&"stays")]);
    // A server that is still listed after registrations have expired is alive.
    verify_that!(usable(ms(10_100)).len(), eq(3))
}

/// Returns for how long the run of the server "stays" is known to be listed since 2 s.
fn confirmed(view: &view::View, started_unix_ms: u64) -> Option<time::Duration> {
    let listed_for = view.listed_for("stays", started_unix_ms, ms(2_000), ms(9_000));
    listed_for.map(|listed_for| listed_for.confirmed)
}

// Guards against a crashed server that is taken for running because of old data (BUDGET).
#[gtest]
fn server_is_listed_for_as_long_as_reads_confirm_the_same_run() -> Result<()> {
    let mut view = view::View::default();
    let list = |revision| servers(position(1, revision), &[("stays", "ready")]);
    view.apply_listing(Topic::Servers, list(10), ms(1_000), ms(1_004));
    let before = confirmed(&view, 7);

    view.apply_listing(Topic::Servers, list(10), ms(7_000), ms(7_004));
    let after = confirmed(&view, 7);
    let of_other_run = confirmed(&view, 8);
    let gone = servers(position(1, 11), &[("other", "ready")]);
    view.apply_listing(Topic::Servers, gone, ms(8_000), ms(8_004));

    expect_that!(before, some(eq(time::Duration::ZERO)));
    expect_that!(after, some(eq(ms(5_000))));
    expect_that!(of_other_run, none());
    verify_that!(confirmed(&view, 7), none())
}

// Guards against a crashed server that is taken for running because its registration has outlasted an
// outage of the platform, or was restored from a copy (BUDGET).
#[gtest]
fn time_before_an_outage_of_the_platform_does_not_count() -> Result<()> {
    let list = |era| servers(position(era, 10), &[("stays", "ready")]);
    let mut after_outage = view::View::default();
    after_outage.apply_listing(Topic::Servers, list(1), ms(1_000), ms(1_004));
    let mut restored = view::View::default();
    restored.apply_listing(Topic::Servers, list(1), ms(1_000), ms(1_004));

    after_outage.record_failure(Topic::Servers, ms(4_000));
    after_outage.apply_listing(Topic::Servers, list(1), ms(6_000), ms(6_500));
    after_outage.apply_listing(Topic::Servers, list(1), ms(7_000), ms(7_004));
    restored.apply_listing(Topic::Servers, list(2), ms(6_000), ms(6_500));
    restored.apply_listing(Topic::Servers, list(2), ms(7_000), ms(7_004));

    expect_that!(confirmed(&after_outage, 7), some(eq(ms(500))));
    verify_that!(confirmed(&restored, 7), some(eq(ms(500))))
}

// Guards against a list from a peer that is not followed because of one odd entry, and against an
// end of the process by a figure out of range.
#[gtest]
fn rest_of_a_list_from_a_peer_is_followed_beside_an_odd_entry() -> Result<()> {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let sound = servers(position(1, 3), &[("odd", "ready")]).objects["odd"]
        .content
        .clone();
    let odd = [
        nested.clone(),
        sound.replace("16", &nested),
        sound.replace("16", "18446744073709551616"),
        sound.replace("16", "1e400"),
        sound.replace(
            "\"cold_left_ms\":0",
            "\"cold_left_ms\":18446744073709551615",
        ),
        sound.replace("127.0.0.1:1", "127.0.0.1:70000"),
        sound.replace("127.0.0.1:1", "127.0.0.1:-1"),
        sound.replace("ready", "rea\u{fffd}y"),
        "null".to_owned(),
        "{".to_owned(),
    ];
    for content in odd {
        let mut listed = servers(position(1, 3), &[("a", "ready"), ("z", "ready")]);
        let object = objects::Object {
            name: "odd".to_owned(),
            position: position(1, 3),
            content,
        };
        listed.objects.insert(object.name.clone(), object);
        let mut sender = view::View::default();
        sender.apply_listing(Topic::Servers, listed, ms(1_000), ms(1_001));
        let message = forward::Message::Topic {
            topic: Topic::Servers.index(),
            state: sender.topic_state(Topic::Servers, ms(1_002)).unwrap(),
            objects: sender.objects(Topic::Servers),
        };

        let frame = forward::encode(&[message]).unwrap();
        let received = forward::decode(&frame).unwrap();

        let Some(forward::Message::Topic { objects, .. }) = received.into_iter().next() else {
            return fail!("no list was received");
        };
        let objects = objects.into_iter().map(|object| objects::Object {
            name: object.name,
            position: position(object.era, object.revision),
            content: object.content,
        });
        let mut receiver = view::View::default();
        let listing = objects::Listing {
            objects: objects
                .map(|object| (object.name.clone(), object))
                .collect(),
            position: position(1, 3),
            unnamed: 0,
            gap: None,
        };
        receiver.apply_listing(Topic::Servers, listing, ms(1_000), ms(1_003));
        let found = receiver.servers_of("runners", ms(1_003));
        let found: Vec<&str> = found.map(|server| server.id.as_str()).collect();
        expect_that!(found, contains(eq(&"a")));
        expect_that!(found, contains(eq(&"z")));
    }
    Ok(())
}

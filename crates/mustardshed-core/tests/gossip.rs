//! Gossip relays an author's facts until they are declined, and again when they are wanted or no
//! heartbeat is acknowledged.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{
    ids,
    process::{gossip, message},
};

fn at_ms(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn alive(author: &str, version: u64) -> message::Fact {
    message::Fact {
        author: author.into(),
        incarnation: 1,
        version,
        age: time::Duration::ZERO,
        body: message::FactBody::Alive {
            address: "127.0.0.1:1".into(),
            peer_address: "127.0.0.1:2".into(),
            data_centre: "a".into(),
            leaving: false,
            generation: 1,
        },
    }
}

fn ack(echo: ids::Timestamp, wants: &[&str], declines: &[&str]) -> message::HeartbeatAck {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    message::HeartbeatAck {
        echo,
        confirmation_age: None,
        platform_answers: true,
        can_vote: true,
        generation: 1,
        intents: Vec::new(),
        wants: names(wants),
        declines: names(declines),
    }
}

fn load(author: &str) -> message::Fact {
    message::Fact {
        body: message::FactBody::Load {
            server: "s".into(),
            report: None,
            prefill_tokens_per_second: 1.0,
            credited_tokens: 0,
            credits: 0,
        },
        ..alive(author, 1)
    }
}

/// Returns the steward of each server: `a` for the server `s`.
fn stewards() -> collections::BTreeMap<ids::BackendServerId, ids::VmId> {
    [("s".into(), "a".into())].into()
}

fn authors(facts: &[message::Fact]) -> Vec<&str> {
    facts.iter().map(|fact| fact.author.as_str()).collect()
}

/// Returns the gossip of `own` after it sent its own fact and that of `a` to the neighbour `n`,
/// which declined both authors, all at 0 s.
fn declined() -> gossip::Gossip {
    let mut gossip = gossip::Gossip::new("own".into());
    gossip.insert_if_newer(alive("own", 1), at_ms(0));
    gossip.insert_if_newer(alive("a", 1), at_ms(0));
    gossip.take_facts_for("n", &stewards(), at_ms(0));
    gossip.on_heartbeat_ack("n", &ack(at_ms(0), &[], &["a", "own"]));
    gossip
}

#[gtest]
fn declined_author_is_not_relayed_but_own_facts_are() {
    let mut gossip = declined();
    gossip.insert_if_newer(alive("own", 2), at_ms(500));
    gossip.insert_if_newer(alive("a", 2), at_ms(500));

    let facts = gossip.take_facts_for("n", &stewards(), at_ms(500));

    expect_that!(authors(&facts), elements_are![eq(&"own")]);
}

#[gtest]
fn wanted_author_is_relayed_again() {
    let mut gossip = declined();
    gossip.insert_if_newer(alive("a", 2), at_ms(500));
    gossip.on_heartbeat_ack("n", &ack(at_ms(500), &["a"], &[]));

    let facts = gossip.take_facts_for("n", &stewards(), at_ms(1000));

    expect_that!(authors(&facts), elements_are![eq(&"a")]);
}

#[gtest]
fn neighbour_that_acknowledges_nothing_is_sent_everything() {
    let mut gossip = declined();
    gossip.take_facts_for("n", &stewards(), at_ms(500));

    let facts = gossip.take_facts_for("n", &stewards(), at_ms(2500));

    expect_that!(authors(&facts), elements_are![eq(&"own"), eq(&"a")]);
}

#[gtest]
fn entry_that_is_neighbour_again_is_sent_everything() {
    let mut gossip = declined();
    gossip.retain_neighbours(|vm| vm != "n");

    let facts = gossip.take_facts_for("n", &stewards(), at_ms(500));

    expect_that!(authors(&facts), elements_are![eq(&"own"), eq(&"a")]);
}

#[gtest]
fn address_is_sent_once_and_again_when_wanted() {
    let mut gossip = gossip::Gossip::new("own".into());
    gossip.insert_if_newer(alive("a", 1), at_ms(0));
    let first = gossip.take_facts_for("n", &stewards(), at_ms(0));
    gossip.insert_if_newer(alive("a", 2), at_ms(500));
    let second = gossip.take_facts_for("n", &stewards(), at_ms(500));

    gossip.on_heartbeat_ack("n", &ack(at_ms(500), &["a"], &[]));
    let third = gossip.take_facts_for("n", &stewards(), at_ms(1000));

    let short = message::FactBody::StillAlive {
        leaving: false,
        generation: 1,
    };
    expect_that!(first, elements_are![eq(&alive("a", 1))]);
    expect_that!(second[0].body, eq(&short));
    expect_that!(third[0].body, eq(&alive("a", 2).body));
}

#[gtest]
fn short_fact_is_expanded_for_the_same_incarnation_only() {
    let mut gossip = gossip::Gossip::new("own".into());
    gossip.insert_if_newer(alive("a", 1), at_ms(0));
    let short = message::Fact {
        body: message::FactBody::StillAlive {
            leaving: true,
            generation: 7,
        },
        ..alive("a", 2)
    };
    let later_incarnation = message::Fact {
        incarnation: 2,
        ..short.clone()
    };

    let expanded = gossip.complete(short);

    let message::FactBody::Alive {
        address,
        leaving,
        generation,
        ..
    } = expanded.unwrap().body
    else {
        panic!("the expanded fact has no address");
    };
    expect_that!(
        (address.as_str(), leaving, generation),
        eq(("127.0.0.1:1", true, 7))
    );
    expect_that!(gossip.complete(later_incarnation), none());
}

#[gtest]
fn load_is_relayed_for_the_steward_only() {
    let mut gossip = gossip::Gossip::new("own".into());
    gossip.insert_if_newer(load("a"), at_ms(0));
    gossip.insert_if_newer(load("b"), at_ms(0));

    let facts = gossip.take_facts_for("n", &stewards(), at_ms(0));

    expect_that!(authors(&facts), elements_are![eq(&"a")]);
}

#[gtest]
fn author_is_wanted_after_silence_only() {
    let (a, b): (ids::VmId, ids::VmId) = ("a".into(), "b".into());
    let others = collections::BTreeSet::from([&a, &b]);
    let mut gossip = gossip::Gossip::new("own".into());
    gossip.insert_if_newer(alive("a", 1), at_ms(1000));

    let soon = gossip.wants(&others, at_ms(1500));
    let late = gossip.wants(&others, at_ms(1000) + gossip::WANT_AFTER);

    expect_that!(soon, elements_are![eq("b")]);
    expect_that!(late, elements_are![eq("a"), eq("b")]);
}

#[gtest]
fn wants_of_many_authors_take_turns() {
    let names: Vec<ids::VmId> = (0..200).map(|i| format!("e{i:03}")).collect();
    let others: collections::BTreeSet<&ids::VmId> = names.iter().collect();
    let gossip = gossip::Gossip::new("own".into());

    let mut wanted = collections::BTreeSet::new();
    for round in 0..20 {
        let wants = gossip.wants(&others, at_ms(round * 37));
        expect_that!(wants.len(), eq(gossip::MAX_WANTS));
        wanted.extend(wants);
    }

    expect_that!(wanted.len(), eq(names.len()));
}

//! Relays of facts: sent until declined, sent again when wanted or when nothing is acknowledged.

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
        vouches: true,
        generation: 1,
        intents: Vec::new(),
        wants: names(wants),
        declines: names(declines),
    }
}

fn authors(facts: &[message::Fact]) -> Vec<&str> {
    facts.iter().map(|fact| fact.author.as_str()).collect()
}

/// Returns the gossip of `own` that told `n` of itself and `a`, and was declined `a` at 0 s.
fn declined() -> gossip::Gossip {
    let mut gossip = gossip::Gossip::new("own".into());
    gossip.keep(alive("own", 1), at_ms(0));
    gossip.keep(alive("a", 1), at_ms(0));
    gossip.take_for("n", at_ms(0));
    gossip.acknowledged("n", &ack(at_ms(0), &[], &["a", "own"]));
    gossip
}

#[gtest]
fn declined_author_is_not_relayed_but_own_facts_are() {
    let mut gossip = declined();
    gossip.keep(alive("own", 2), at_ms(500));
    gossip.keep(alive("a", 2), at_ms(500));

    let facts = gossip.take_for("n", at_ms(500));

    expect_that!(authors(&facts), elements_are![eq(&"own")]);
}

#[gtest]
fn wanted_author_is_relayed_again() {
    let mut gossip = declined();
    gossip.keep(alive("a", 2), at_ms(500));
    gossip.acknowledged("n", &ack(at_ms(500), &["a"], &[]));

    let facts = gossip.take_for("n", at_ms(1000));

    expect_that!(authors(&facts), elements_are![eq(&"a")]);
}

#[gtest]
fn neighbour_that_acknowledges_nothing_is_sent_everything() {
    let mut gossip = declined();
    gossip.take_for("n", at_ms(500));

    let facts = gossip.take_for("n", at_ms(2500));

    expect_that!(authors(&facts), elements_are![eq(&"own"), eq(&"a")]);
}

#[gtest]
fn author_is_wanted_after_silence_only() {
    let (a, b): (ids::VmId, ids::VmId) = ("a".into(), "b".into());
    let others = collections::BTreeSet::from([&a, &b]);
    let mut gossip = gossip::Gossip::new("own".into());
    gossip.keep(alive("a", 1), at_ms(1000));

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
    for turn in 0..20 {
        let wants = gossip.wants(&others, at_ms(turn * 37));
        expect_that!(wants.len(), eq(gossip::MAX_WANTS));
        wanted.extend(wants);
    }

    expect_that!(wanted.len(), eq(names.len()));
}

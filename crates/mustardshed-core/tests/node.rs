//! One node without any peers that run: credits, configurations, queries for fates and stewards.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{
    boundary::{backend_server, control, platform},
    error, ids,
    process::{action, event, fates, message, node},
    version::record,
};

const TEXT: &str = r#"
[[data_centre]]
name = "a"
region = "r"

[[engine_kind]]
name = "k"
memory_tokens = 1000
max_running = 8
cold_limit = 2
warm_after = 3
prefill_tokens_per_second = 1000
fencing = "checked"

[[model]]
name = "m"
engine_kind = "k"
version = "1"
context_tokens = 1000

[[service]]
name = "s"
model = "m"

[[client_account]]
name = "c"
key_sha256 = []
"#;

fn at_ms(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn identity() -> node::Identity {
    node::Identity {
        vm: "e1".into(),
        incarnation: 1,
        data_centre: "a".into(),
        address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
    }
}

/// Returns a VM list of this entry, the other entries named and one backend server.
fn vms(others: &[&str]) -> Vec<platform::Vm> {
    let entry = platform::Vm {
        id: "e1".into(),
        role: platform::VmRole::Entry,
        address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        data_centre: "a".into(),
        state: platform::VmState::Live,
    };
    let server = platform::Vm {
        id: "s1".into(),
        role: platform::VmRole::BackendServer { kind: "k".into() },
        address: "127.0.0.1:9".into(),
        peer_address: String::new(),
        ..entry.clone()
    };
    let others = others.iter().map(|id| platform::Vm {
        id: (*id).into(),
        ..entry.clone()
    });
    others.chain([entry.clone(), server]).collect()
}

fn record(generation: u64, out: &[&str]) -> record::Record {
    record::Record {
        generation,
        text: TEXT.into(),
        data_centres_out: out.iter().map(|name| (*name).to_owned()).collect(),
        nonce: format!("n{generation}"),
        author: "op".into(),
    }
}

fn report(warmth: backend_server::Warmth) -> backend_server::LoadReport {
    backend_server::LoadReport {
        epoch: 1,
        warmth,
        leaving: false,
        age: time::Duration::ZERO,
        memory_tokens: 1000,
        used_tokens: 0,
        queued_prefill_tokens: 0,
        running: 0,
        models: collections::BTreeMap::new(),
        held: Vec::new(),
    }
}

fn request(number: u32, tokens: u64, now: ids::Timestamp) -> control::CreditRequest {
    control::CreditRequest {
        request: format!("e1.1.{number}"),
        account: "c".into(),
        server: "s1".into(),
        tokens,
        prefill_tokens: tokens,
        priority: 0,
        wait_until: now + at_ms(500),
        gang: false,
    }
}

/// Time after which nothing granted by an earlier incarnation on the same VM can still be used.
const GRACE_PERIOD: time::Duration = time::Duration::from_secs(4);

/// Returns a node with a confirmed configuration and a load report of its one server, and the
/// time, which is that of the end of the [`GRACE_PERIOD`].
fn ready_node(warmth: backend_server::Warmth) -> (node::Node, ids::Timestamp) {
    ready_node_among(warmth, &[])
}

/// Returns the same for a node among other entries that are listed but do not run.
fn ready_node_among(
    warmth: backend_server::Warmth,
    others: &[&str],
) -> (node::Node, ids::Timestamp) {
    let mut node = node::Node::new(identity(), 1, at_ms(0));
    let mut now = at_ms(0);
    while now < GRACE_PERIOD {
        now += node::TICK;
        let read = event::Event::ConfigurationRead {
            begun_at: now,
            result: Ok(Some((1, record(1, &[])))),
        };
        node.handle(read, now);
        let result = Ok(vms(others));
        node.handle(event::Event::VmsRead { result }, now);
        let actions = node.handle(event::Event::Tick, now);
        let is_read = actions
            .iter()
            .any(|action| matches!(action, action::Action::ReadLoad { .. }));
        if is_read {
            let read = event::Event::LoadRead {
                server: "s1".into(),
                begun_at: now,
                result: Ok(report(warmth)),
            };
            node.handle(read, now);
        }
    }
    (node, now)
}

fn acquire(
    node: &mut node::Node,
    req: control::CreditRequest,
    now: ids::Timestamp,
) -> Option<std::result::Result<control::Credit, error::Error>> {
    let event = event::Event::Acquire { ticket: 1, req };
    node.handle(event, now)
        .into_iter()
        .find_map(|action| match action {
            action::Action::AnswerAcquire { result, .. } => Some(result),
            _ => None,
        })
}

#[gtest]
fn warm_server_is_filled_up_to_its_memory() {
    let (mut node, now) = ready_node(backend_server::Warmth::Warm);

    let first = acquire(&mut node, request(1, 600, now), now);
    let second = acquire(&mut node, request(2, 600, now), now);

    expect_that!(first, some(ok(anything())));
    expect_that!(second, none());
}

#[gtest]
fn cold_server_gets_its_cold_limit() {
    let (mut node, now) = ready_node(backend_server::Warmth::Cold);

    let granted = (0..5).filter(|number| {
        let req = request(*number, 1, now);
        matches!(acquire(&mut node, req, now), Some(Ok(_)))
    });

    expect_that!(granted.count(), eq(2));
}

#[gtest]
fn data_centre_taken_out_is_refused_at_once() {
    let (mut node, now) = ready_node(backend_server::Warmth::Warm);
    let commit = event::Event::Commit {
        ticket: 2,
        record: record(2, &["a"]),
    };

    node.handle(commit, now);
    let answer = acquire(&mut node, request(1, 1, now), now);

    let refusal = answer.unwrap().unwrap_err();
    expect_that!(refusal.kind, eq(error::ErrorKind::NoBackendServer));
    expect_that!(node.snapshot(now).data_centres_out, contains(eq("a")));
}

#[gtest]
fn stale_configuration_stops_new_work() {
    let (mut node, now) = ready_node_among(backend_server::Warmth::Warm, &["e2"]);
    let later = now + at_ms(2100);

    let answer = acquire(&mut node, request(1, 1, later), later);

    let refusal = answer.unwrap().unwrap_err();
    expect_that!(refusal.kind, eq(error::ErrorKind::ConfigurationStale));
    expect_that!(node.snapshot(later).may_place_until, lt(later));
}

#[gtest]
fn lone_entry_goes_on_in_an_outage_as_its_own_majority() {
    let (mut node, now) = ready_node(backend_server::Warmth::Warm);
    let later = now + at_ms(10_000);

    node.handle(event::Event::Tick, later);

    expect_that!(node.snapshot(later).may_place_until, gt(later));
}

#[gtest]
fn invalid_text_leaves_the_previous_one_in_use() {
    let (mut node, now) = ready_node(backend_server::Warmth::Warm);
    let mut invalid = record(2, &["a"]);
    invalid.text = "not a text".into();

    let event = event::Event::Commit {
        ticket: 2,
        record: invalid,
    };
    node.handle(event, now);

    let snapshot = node.snapshot(now);
    expect_that!(snapshot.generation, eq(2));
    expect_that!(snapshot.text.engine_kinds.contains_key("k"), is_true());
    expect_that!(snapshot.data_centres_out, contains(eq("a")));
}

#[gtest]
fn query_for_a_request_of_an_earlier_incarnation_is_not_answered() {
    let (mut node, now) = ready_node_among(backend_server::Warmth::Warm, &["e2"]);
    let mut ask = |request: &str| {
        let message = message::Message::WantFate {
            ticket: 1,
            request: request.to_owned(),
        };
        let query = event::Event::Peer {
            vm: "e2".into(),
            incarnation: 1,
            message,
        };
        let actions = node.handle(query, now);
        actions.iter().any(|action| {
            let action::Action::Send { message, .. } = action else {
                return false;
            };
            matches!(message, message::Message::FateIs { .. })
        })
    };

    let (earlier, present) = (ask("e1.0.7"), ask("e1.1.7"));

    expect_that!(earlier, eq(false));
    expect_that!(present, eq(true));
}

/// Returns whether the actions send a query for a fate to another entry, and their answer to one.
fn query_result(actions: Vec<action::Action>) -> (bool, Option<action::FateAnswer>) {
    let mut is_sent = false;
    let mut answer = None;
    for action in actions {
        match action {
            action::Action::Send { message, .. } => {
                is_sent |= matches!(message, message::Message::WantFate { .. });
            }
            action::Action::AnswerFate { result, .. } => answer = Some(result),
            _ => {}
        }
    }
    (is_sent, answer)
}

fn want_fate(request: &str) -> event::Event {
    event::Event::WantFate {
        ticket: 1,
        request: request.into(),
    }
}

fn alive(vm: &str) -> event::Event {
    alive_in(vm, "a")
}

fn alive_in(vm: &str, data_centre: &str) -> event::Event {
    let body = message::FactBody::Alive {
        address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        data_centre: data_centre.into(),
        leaving: false,
        generation: 1,
    };
    let fact = message::Fact {
        author: vm.into(),
        incarnation: 1,
        version: 1,
        age: time::Duration::ZERO,
        body,
    };
    let heartbeat = message::Heartbeat {
        sent_at: at_ms(0),
        generation: 1,
        facts: vec![fact],
    };
    event::Event::Peer {
        vm: vm.into(),
        incarnation: 1,
        message: message::Message::Heartbeat(heartbeat),
    }
}

#[gtest]
fn query_to_an_entry_not_heard_of_yet_is_sent_once_it_is() {
    let (mut node, now) = ready_node_among(backend_server::Warmth::Warm, &["e2"]);

    let asked = query_result(node.handle(want_fate("e2.1.7"), now));
    node.handle(alive("e2"), now);
    let later = query_result(node.handle(event::Event::Tick, now + node::TICK));

    expect_that!(asked, eq(&(false, None)));
    expect_that!(later, eq(&(true, None)));
}

#[gtest]
fn unanswered_query_times_out() {
    let (mut node, mut now) = ready_node_among(backend_server::Warmth::Warm, &["e2"]);
    node.handle(alive("e2"), now);
    let until = now + fates::ANSWER_TIMEOUT;
    let asked = query_result(node.handle(want_fate("e2.1.7"), now));

    let mut answer = None;
    while now < until {
        now += node::TICK;
        answer = query_result(node.handle(event::Event::Tick, now)).1;
    }

    expect_that!(asked, eq(&(true, None)));
    expect_that!(answer, some(eq(&action::FateAnswer::Unanswered)));
}

#[gtest]
fn owner_that_is_not_listed_or_was_replaced_is_gone() {
    let (mut node, now) = ready_node_among(backend_server::Warmth::Warm, &["e2"]);
    node.handle(alive("e2"), now);

    let unlisted = query_result(node.handle(want_fate("e9.1.7"), now));
    let replaced = query_result(node.handle(want_fate("e2.0.7"), now));

    let gone = (false, Some(action::FateAnswer::OwnerGone));
    expect_that!(unlisted, eq(&gone));
    expect_that!(replaced, eq(&gone));
}

/// Returns the stewards that a node chooses for 20 servers of a data centre.
fn stewards_in(data_centre: &str) -> collections::BTreeSet<ids::VmId> {
    let (mut node, now) = ready_node(backend_server::Warmth::Warm);
    for (vm, member_data_centre) in [("e2", "b"), ("e3", "b"), ("e4", "c")] {
        node.handle(alive_in(vm, member_data_centre), now);
    }
    let server = |i: usize| platform::Vm {
        id: format!("{data_centre}-{i}"),
        role: platform::VmRole::BackendServer { kind: "k".into() },
        address: "127.0.0.1:9".into(),
        peer_address: String::new(),
        data_centre: data_centre.into(),
        state: platform::VmState::Live,
    };
    let result = Ok((0..20).map(server).collect());
    let actions = node.handle(event::Event::VmsRead { result }, now);
    let chosen = actions.into_iter().filter_map(|action| match action {
        action::Action::Log(action::LogEvent::StewardChanged { steward, .. }) => steward,
        _ => None,
    });
    chosen.collect()
}

#[gtest]
fn stewards_are_entries_of_the_data_centre_of_their_servers() {
    let near = stewards_in("b");
    let elsewhere = stewards_in("no-entry-here");

    expect_that!(near, unordered_elements_are![eq("e2"), eq("e3")]);
    expect_that!(elsewhere.len(), eq(4));
}

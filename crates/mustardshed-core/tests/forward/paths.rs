//! Which servers an entry reaches by itself, and which peers it asks for the others.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::paths;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Returns paths of which `servers` were bypassed at `at`.
fn bypassed(servers: &[&str], at: time::Duration) -> paths::Paths {
    let mut paths = paths::Paths::default();
    for server in servers {
        paths.record_failed(server, at);
        paths.record_bypass(server, at);
    }
    paths
}

#[gtest]
fn bypassed_path_is_tried_ever_less_often_until_it_works() -> Result<()> {
    let mut paths = bypassed(&["a"], ms(1_000));
    let mut tried = Vec::new();

    for at in (1_000..5_000).step_by(50) {
        if paths.plan("a", ms(at)) == (paths::Plan::Bypass { tries_path: true }) {
            tried.push(at);
            paths.record_bypass("a", ms(at));
        }
    }

    expect_that!(tried, eq(&vec![1_250, 1_750, 2_750, 3_750, 4_750]));
    paths.record_connected("a", ms(5_000));
    verify_that!(paths.plan("a", ms(5_001)), eq(paths::Plan::Direct))
}

#[gtest]
fn entry_is_cut_off_after_three_bypasses_until_it_reaches_a_server() -> Result<()> {
    let mut paths = bypassed(&["a", "b"], ms(1_000));
    expect_that!(paths.is_cut_off(ms(1_000)), eq(false));
    paths.record_bypass("c", ms(1_100));
    expect_that!(paths.is_cut_off(ms(1_100)), eq(true));
    expect_that!(paths.is_cut_off(ms(4_100)), eq(false));

    paths.record_connected("d", ms(1_200));

    verify_that!(paths.is_cut_off(ms(1_200)), eq(false))
}

// Guards against servers that have ended and are taken for lost paths.
#[gtest]
fn failures_without_a_peer_that_connects_do_not_cut_off() -> Result<()> {
    let mut paths = paths::Paths::default();
    let changes = ["a", "b", "c"].map(|server| paths.record_failed(server, ms(1_000)));

    expect_that!(changes[2], some(eq(paths::Change::Lost { servers: 3 })));
    expect_that!(paths.are_lost(), eq(true));
    expect_that!(paths.is_cut_off(ms(1_000)), eq(false));
    let restored = paths.record_connected("a", ms(1_700));
    expect_that!(
        restored,
        some(eq(paths::Change::Restored { after: ms(700) }))
    );
    verify_that!(paths.are_lost(), eq(false))
}

#[gtest]
fn own_connection_refutes_reports_for_a_while() -> Result<()> {
    let mut paths = paths::Paths::default();
    paths.record_connected("a", ms(1_000));
    let refutes = |paths: &paths::Paths, at| paths.has_just_connected("a", ms(at));

    expect_that!(
        [1_000, 1_249, 1_250].map(|at| refutes(&paths, at)),
        eq([true, true, false])
    );
    paths.record_failed("a", ms(1_100));
    verify_that!(refutes(&paths, 1_101), eq(false))
}

#[gtest]
fn peer_that_failed_is_passed_over_for_a_second() -> Result<()> {
    let mut paths = paths::Paths::default();
    paths.record_peer_failed("vm-1", ms(1_000));

    let passed_over = [1_000, 1_999, 2_000].map(|at| paths.is_passed_over("vm-1", ms(at)));

    verify_that!(passed_over, eq([true, true, false]))
}

#[gtest]
fn one_local_peer_is_asked_first_and_remote_ones_next() -> Result<()> {
    let peer = |vm: &str, is_local, is_cut_off| paths::Peer {
        vm: vm.to_owned(),
        address: String::new(),
        is_local,
        is_cut_off,
    };
    let peers = vec![
        peer("remote-cut", false, true),
        peer("local-1", true, false),
        peer("local-cut", true, true),
        peer("remote-1", false, false),
        peer("local-2", true, false),
        peer("remote-2", false, false),
    ];

    let asked = |limit| {
        let asked = paths::peers_to_ask(peers.clone(), limit).into_iter();
        asked.map(|peer| peer.vm).collect::<Vec<String>>()
    };

    expect_that!(asked(2), eq(&vec!["local-1", "remote-1"]));
    verify_that!(
        asked(9),
        eq(&vec![
            "local-1",
            "remote-1",
            "remote-2",
            "local-2",
            "remote-cut",
            "local-cut"
        ])
    )
}

#[gtest]
fn three_servers_that_do_not_answer_in_a_row_lead_nowhere() -> Result<()> {
    let mut paths = paths::Paths::default();
    for server in ["a", "b", "b"] {
        paths.record_unanswered(server);
    }
    expect_that!(paths.leads_nowhere(), eq(false));
    paths.record_unanswered("c");
    expect_that!(paths.leads_nowhere(), eq(true));

    paths.record_reached();

    verify_that!(paths.leads_nowhere(), eq(false))
}

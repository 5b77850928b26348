//! What becomes of requests that take the way through a peer.

use std::time;

use googletest::prelude::*;
use rustix::process as posix;

use crate::{client, entry, fixture, path::State, server};

/// Time in which an entry finds its way through peers.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(1);
/// Time after a client has left within which no server may be at work for it.
const LEAVING_TIME: time::Duration = time::Duration::from_millis(500);
/// Longest time until a request is refused that cannot be served.
const MAX_REFUSAL_TIME: time::Duration = time::Duration::from_secs(1);
/// Retries that the entries' settings allow for each request, and beyond that.
const RETRY_RATIO: f64 = 0.2;
const RETRY_ALLOWANCE: f64 = 100.0;

/// Returns a fleet with load in which entry 0 is cut off and has found its way.
async fn cut_off_fleet() -> (fixture::Fixture, client::Load) {
    let f = fixture::Fixture::open(&["north", "north", "south"]).await;
    let load = f.load(18);
    f.set_paths(0, State::Hangs);
    tokio::time::sleep(SETTLING_TIME).await;
    (f, load)
}

fn sent_to(sent: &[client::Sent], entry: usize) -> Vec<client::Sent> {
    let sent = sent.iter().filter(|req| req.plan.entry == entry);
    sent.cloned().collect()
}

// Guards against requests that are cut when the entry is stopped through which they go.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_survive_the_planned_stop_of_the_peer() -> Result<()> {
    let (mut f, load) = cut_off_fleet().await;
    for server in &f.servers {
        server.set_service_time(time::Duration::from_millis(300));
    }

    let stop = f.entries[1].stop().await;
    tokio::time::sleep(SETTLING_TIME).await;

    let sent = load.finish().await;
    let report = f.check(&sent, &[stop]);
    expect_that!(report.faults(), is_empty(), "{report}");
    let sent = sent_to(&sent, 0);
    let found_at = sent.iter().map(|req| req.sent_at).min().unwrap() + SETTLING_TIME;
    // Requests that end within the grace of the peer are not cut by its stop.
    let failed = sent
        .iter()
        .filter(|req| req.sent_at >= found_at && req.outcome != client::Outcome::Answered(200));
    verify_that!(failed.collect::<Vec<_>>(), is_empty())
}

// Guards against answers that look complete though the peer that passed them on was killed, and
// against calls that run twice then.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_truthfully_when_the_peer_is_killed() -> Result<()> {
    let (mut f, load) = cut_off_fleet().await;

    f.entries[1].signal(posix::Signal::KILL);
    let stop = f.entries[1].exit(time::Instant::now()).await;
    tokio::time::sleep(SETTLING_TIME * 3).await;

    expect_that!(stop.exit_signal, some(eq(posix::Signal::KILL.as_raw())));
    let sent = sent_to(&load.finish().await, 0);
    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    let last = sent.iter().map(|req| req.ended_at).max().unwrap();
    let late = sent
        .iter()
        .filter(|req| req.sent_at >= last - SETTLING_TIME);
    let failed = late.filter(|req| req.outcome != client::Outcome::Answered(200));
    verify_that!(failed.count(), eq(0))
}

// Guards against a peer that stands still with the connections that it has passed on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_truthfully_while_the_peer_is_paused() -> Result<()> {
    let (mut f, load) = cut_off_fleet().await;

    f.entries[1].pause(time::Duration::from_secs(3)).await;
    tokio::time::sleep(SETTLING_TIME).await;

    let sent = sent_to(&load.finish().await, 0);
    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    Ok(())
}

// Guards against a longer time, another account or a key that reaches a server through a peer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn server_behind_a_peer_gets_the_time_and_the_account_of_the_request() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "south"]).await;
    f.set_paths(0, State::Hangs);
    let mut client = client::Client::open(&f.ips());
    let deadline = time::Duration::from_secs(2);

    for kind in [
        client::Kind::Once,
        client::Kind::Again,
        client::Kind::Stream,
    ] {
        let plan = client::Plan {
            kind,
            has_body: true,
            deadline,
            ..fixture::CALL
        };
        let sent = client.send(plan).await.unwrap();
        expect_that!(sent.outcome, eq(&client::Outcome::Answered(200)));
    }

    let works: Vec<server::Work> = f
        .servers
        .iter()
        .flat_map(server::Server::all_work)
        .collect();
    expect_that!(works.len(), eq(3));
    for work in works {
        expect_that!(work.time_left, le(deadline));
        expect_that!(work.is_of_account, eq(true));
    }
    Ok(())
}

// Guards against answers that are passed on though they came through a peer with the identifier of
// another request, or without the server's stamp.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_through_a_peer_need_the_identifier_and_the_stamp() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "south"]).await;
    f.set_paths(0, State::Hangs);
    let mut client = client::Client::open(&f.ips());
    let plan = client::Plan {
        kind: client::Kind::Once,
        ..fixture::CALL
    };

    let mut outcomes = vec![client.send(plan).await.unwrap().outcome];
    for flaw in [server::Flaw::OtherRequest, server::Flaw::NoStamp] {
        for server in &f.servers {
            server.set_flaw(flaw);
        }
        outcomes.push(client.send(plan).await.unwrap().outcome);
    }

    verify_that!(
        outcomes,
        elements_are![
            eq(&client::Outcome::Answered(200)),
            eq(&client::Outcome::Answered(502)),
            eq(&client::Outcome::Answered(502))
        ]
    )
}

// Guards against servers that work on for clients that have left, behind a peer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn server_behind_a_peer_stops_when_the_client_leaves() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "south"]).await;
    f.set_paths(0, State::Resets);
    for server in &f.servers {
        server.set_service_time(time::Duration::from_secs(10));
    }
    let mut client = client::Client::open(&f.ips());
    let plan = client::Plan {
        deadline: time::Duration::from_secs(20),
        ..fixture::CALL
    };

    let sent = tokio::time::timeout(SETTLING_TIME, client.send(plan)).await;
    drop(client);
    tokio::time::sleep(LEAVING_TIME).await;

    expect_that!(sent.is_err(), eq(true));
    let works: Vec<_> = f
        .servers
        .iter()
        .flat_map(server::Server::all_work)
        .collect();
    expect_that!(works.len(), eq(1));
    verify_that!(works.iter().all(|work| work.ended_at.is_some()), eq(true))
}

// Guards against a server that has ended and is taken for one behind a broken path.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_ends_is_ejected_though_an_entry_is_cut_off() -> Result<()> {
    let (f, load) = cut_off_fleet().await;

    for entry in 0..3 {
        f.set_path(entry, 0, State::Resets);
    }
    tokio::time::sleep(SETTLING_TIME).await;

    let sent = load.finish().await;
    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    let has_ejected = |entry: &&entry::Entry| {
        let log = entry.log();
        let mut lines = log.lines().filter(|line| line.contains("server_ejected"));
        lines.any(|line| line.contains("\"server\":\"b0\""))
    };
    verify_that!(f.entries.iter().filter(has_ejected).count(), eq(3))
}

/// Returns requests that clients sent to entry 0 for some time.
async fn load_cut_off_entry(f: &fixture::Fixture, duration: time::Duration) -> Vec<client::Sent> {
    let load = client::Load::start(8, &f.ips(), |client, _| client::Plan {
        kind: if client % 2 == 0 {
            client::Kind::Again
        } else {
            client::Kind::Once
        },
        ..fixture::CALL
    });
    tokio::time::sleep(duration).await;
    load.finish().await
}

/// Sends calls to two entries of which none reaches a server; returns how they ended.
async fn send_to_lost_entries(f: &fixture::Fixture) -> Vec<client::Sent> {
    f.set_paths(0, State::Hangs);
    f.set_paths(1, State::Resets);
    tokio::time::sleep(SETTLING_TIME).await;
    let mut client = client::Client::open(&f.ips());
    let mut all = Vec::new();
    for entry in [0, 1, 0, 1] {
        let plan = client::Plan {
            entry,
            kind: client::Kind::Once,
            deadline: time::Duration::from_secs(10),
            ..fixture::CALL
        };
        all.push(client.send(plan).await.unwrap());
    }
    all
}

// Guards against two entries that pass a request to each other.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_are_all_cut_off_refuse() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "north"]).await;

    let sent = send_to_lost_entries(&f).await;

    for sent in sent {
        expect_that!(sent.outcome, eq(&client::Outcome::Answered(503)));
    }
    let works = f.servers.iter().flat_map(server::Server::all_work);
    verify_that!(works.count(), eq(0))
}

// Guards against refusals that come late where no server can be reached.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_reaches_nothing_refuses_at_once() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "north"]).await;

    let sent = send_to_lost_entries(&f).await;

    for sent in sent {
        expect_that!(sent.ended_at - sent.sent_at, lt(MAX_REFUSAL_TIME));
    }
    Ok(())
}

// Guards against requests that are cut when the entry that took them is stopped.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_survive_the_planned_stop_of_the_entry_that_is_cut_off() -> Result<()> {
    let (mut f, load) = cut_off_fleet().await;
    for server in &f.servers {
        server.set_service_time(time::Duration::from_millis(300));
    }

    let stop = f.entries[0].stop().await;

    let sent = load.finish().await;
    let report = f.check(&sent, &[stop]);
    expect_that!(report.faults(), is_empty(), "{report}");
    verify_that!(report.served_in_grace(), gt(0))
}

// Guards against more requests at a cold server by the way through a peer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cold_server_behind_a_peer_gets_no_more_than_it_bears() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "south"]).await;
    f.set_paths(0, State::Hangs);
    f.chill_servers().await;

    load_cut_off_entry(&f, time::Duration::from_secs(3)).await;

    for server in &f.servers {
        let mut began: Vec<time::Instant> =
            server.all_work().iter().map(|work| work.began_at).collect();
        began.sort();
        let in_a_second = |from: &time::Instant| {
            let until = *from + time::Duration::from_secs(1);
            began
                .iter()
                .filter(|at| (*from..until).contains(at))
                .count()
        };
        let most = began.iter().map(in_a_second).max().unwrap_or_default();
        expect_that!(most, gt(0));
        let most = f64::from(u32::try_from(most).unwrap());
        expect_that!(most, le(fixture::COLD_PER_S));
    }
    Ok(())
}

// Guards against retries beyond the budget by the way through a peer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn retries_behind_a_peer_keep_to_the_budget() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "south"]).await;
    f.set_paths(0, State::Hangs);
    for server in &f.servers {
        server.set_rejecting(true);
    }

    let sent = load_cut_off_entry(&f, time::Duration::from_secs(3)).await;

    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    let arrivals = f.servers.iter().flat_map(server::Server::all_work).count();
    let requests = f64::from(u32::try_from(sent.len()).unwrap());
    let repeats = f64::from(u32::try_from(arrivals).unwrap()) - requests;
    expect_that!(arrivals, gt(0));
    verify_that!(repeats, le(requests * RETRY_RATIO + RETRY_ALLOWANCE))
}

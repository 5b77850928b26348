//! What callers get while entries are cut off from servers.

use std::time;

use googletest::prelude::*;

use crate::{client, fixture, path::State};

/// Time from the beginning of a cut after which its callers must be served like others.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(3);
/// Time for which requests are counted after that.
const COUNTING_TIME: time::Duration = time::Duration::from_secs(3);
/// Most requests that may fail at an entry, as a share of those sent there.
const MAX_FAILED_SHARE: f64 = 1.0 / 50.0;
/// Clients of each entry.
const CLIENTS_PER_ENTRY: u64 = 4;
/// Clients of each entry in a burst.
const BURST_CLIENTS_PER_ENTRY: u64 = 30;

/// Numbers of requests to some entries.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: usize,
    answered: usize,
}

impl Served {
    fn failed_share(&self) -> f64 {
        let failed = u32::try_from(self.sent - self.answered).unwrap();
        f64::from(failed) / f64::from(u32::try_from(self.sent).unwrap())
    }
}

/// Counts the requests sent to an entry from `since` on.
fn served(sent: &[client::Sent], entry: usize, since: time::Instant) -> Served {
    let counted = sent
        .iter()
        .filter(|req| req.plan.entry == entry && req.sent_at >= since);
    counted.fold(Served::default(), |served, req| Served {
        sent: served.sent + 1,
        answered: served.answered + usize::from(req.outcome == client::Outcome::Answered(200)),
    })
}

/// Checks that nearly all requests sent to an entry from `since` on were answered.
fn expect_served(sent: &[client::Sent], entry: usize, since: time::Instant) {
    let served = served(sent, entry, since);
    expect_that!(served.sent, gt(0));
    expect_that!(
        served.failed_share(),
        le(MAX_FAILED_SHARE),
        "entry {entry}: {served:?}"
    );
}

/// Cuts off the first `cut` entries and checks that their callers are served soon, those of the
/// others all the while, and that no request is run twice or answered falsely.
async fn check_cut(data_centres: &[&str], cut: usize, state: State) -> Result<()> {
    let f = fixture::Fixture::open(data_centres).await;
    let clients = CLIENTS_PER_ENTRY * u64::try_from(data_centres.len()).unwrap();
    let load = f.load(clients);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let cut_at = time::Instant::now();

    f.cut_off(cut, state).await;
    tokio::time::sleep(SETTLING_TIME + COUNTING_TIME).await;
    for entry in 0..cut {
        f.set_paths(entry, State::Open);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;

    let sent = load.finish().await;
    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    for entry in 0..data_centres.len() {
        let since = if entry < cut {
            cut_at + SETTLING_TIME
        } else {
            cut_at
        };
        expect_served(&sent, entry, since);
    }
    Ok(())
}

// Guards against the refusal of all requests at an entry whose connections to servers are refused
// or reset, and against the ejection of these servers by entries that reach them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_entry_whose_paths_reset_are_served() -> Result<()> {
    check_cut(&["north", "north", "south"], 1, State::Resets).await
}

// Guards against the same where connections hang.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_entry_whose_paths_hang_are_served() -> Result<()> {
    check_cut(&["north", "north", "south"], 1, State::Hangs).await
}

// Guards against the same where open connections live on.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_entry_whose_new_connections_are_refused_are_served() -> Result<()> {
    check_cut(&["north", "north", "south"], 1, State::RefusesNew).await
}

// Guards against a search for a way that ends at other entries which are cut off as well.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_a_data_centre_is_cut_off() -> Result<()> {
    check_cut(&["north", "north", "north", "south"], 3, State::Hangs).await
}

// Guards against a search for a way that ends at the only other entry which is not cut off there.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_most_of_a_data_centre_is_cut_off() -> Result<()> {
    check_cut(&["north", "north", "north", "south"], 2, State::Hangs).await
}

// Guards against refusals for want of connections through peers in a burst.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn burst_at_an_entry_that_is_cut_off_is_served() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "north", "south"]).await;
    f.set_paths(0, State::Hangs);
    let load = f.load(3);
    tokio::time::sleep(SETTLING_TIME).await;

    let burst = f.load(3 * BURST_CLIENTS_PER_ENTRY);
    tokio::time::sleep(time::Duration::from_secs(2)).await;

    let mut sent = burst.finish().await;
    sent.extend(load.finish().await);
    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    let of_burst = served(&sent, 0, time::Instant::now() - SETTLING_TIME);
    verify_that!(of_burst.failed_share(), le(MAX_FAILED_SHARE))
}

// Guards against the same where connections are refused, which looks like servers that ended.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_a_data_centre_is_refused() -> Result<()> {
    check_cut(&["north", "north", "north", "south"], 3, State::Resets).await
}

// Guards against requests that are refused for want of a server where an entry reaches one of six
// by itself, and each of the others four.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_where_each_entry_has_lost_other_paths() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "north", "south"]).await;
    let load = f.load(3 * CLIENTS_PER_ENTRY);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let cut_at = time::Instant::now();

    for server in 1..6 {
        f.set_path(0, server, State::Hangs);
    }
    for server in 0..2 {
        f.set_path(1, server, State::Hangs);
    }
    f.cut([(2, 2), (2, 3)], State::Resets).await;
    tokio::time::sleep(SETTLING_TIME + COUNTING_TIME).await;

    let sent = load.finish().await;
    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    for entry in 0..3 {
        expect_served(&sent, entry, cut_at + SETTLING_TIME);
    }
    Ok(())
}

// Guards against the ejection of a sound server that answers nothing for a second.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_is_silent_for_a_second_stays_in_use() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "south"]).await;
    let load = f.load(2 * CLIENTS_PER_ENTRY);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let silent_at = time::Instant::now();

    for entry in 0..2 {
        f.set_path(entry, 0, State::Silent);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    for entry in 0..2 {
        f.set_path(entry, 0, State::Open);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;

    let sent = load.finish().await;
    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    for (index, entry) in f.entries.iter().enumerate() {
        expect_served(&sent, index, silent_at);
        let log = entry.log();
        let ejected = log.lines().filter(|line| line.contains("server_ejected"));
        expect_that!(ejected.count(), eq(0));
    }
    Ok(())
}

// Guards against requests that are blamed for crashes of servers whose connections were reset on
// the way.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn paths_that_reset_are_not_taken_for_crashes() -> Result<()> {
    let f = fixture::Fixture::open(&["north", "north", "south"]).await;
    let load = f.load(3 * CLIENTS_PER_ENTRY);

    for _ in 0..6 {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        f.cut_off(1, State::Resets).await;
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        f.set_paths(0, State::Open);
    }

    let sent = load.finish().await;
    let report = f.check(&sent, &[]);
    expect_that!(report.faults(), is_empty(), "{report}");
    for entry in &f.entries {
        let log = entry.log();
        let crashes = log.lines().filter(|line| line.contains("server_crashed"));
        expect_that!(crashes.count(), eq(0));
    }
    Ok(())
}

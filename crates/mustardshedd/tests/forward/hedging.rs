//! Second attempts beside the first.

use std::time;

use googletest::prelude::*;
use mustardshed::{config::forwarding, core::forward::quarantine};

use crate::{
    fixture,
    server::{self, Response},
};

/// Answers from which on the usual time of a route is known.
const ENOUGH: usize = 12;
/// Time after which a second attempt is due, since the servers answer far earlier.
const DELAY: time::Duration = time::Duration::from_millis(150);
/// Far longer than that.
const SLOW_MS: u64 = 2_000;

/// A platform with a server that gets all requests while it is idle, another one and an entry.
struct Setup {
    f: fixture::Fixture,
    first: server::Server,
    second: server::Server,
    entry: fixture::Entry,
}

impl Setup {
    /// Starts the servers and an entry that has seen enough answers on the path.
    async fn on(path: &str, is_hedging: bool) -> Self {
        let first = server::Server::bind("i-1").await;
        let second = server::Server::bind("i-2").await;
        let f = fixture::Fixture::with(&[&first]).await;
        f.list(&second, "ready", "south").await;
        if path.starts_with("/long/") {
            f.configure_engine(2).await;
        }
        let hedging = is_hedging.then_some(forwarding::Hedging {
            max_share: 0.1,
            min_delay: DELAY,
        });
        let entry = f.entry_with("entry-1", |cfg| {
            cfg.hedging = hedging;
            // Longer than any test.
            cfg.bounds.retry_window = time::Duration::from_secs(600);
        });
        let entry = entry.await.ready().await;
        for _ in 0..ENOUGH {
            f.send(&entry, "POST", path, "").await;
            // A job that has not ended yet would let the next request go to the other server.
            let has_ended = || entry.cx.state().loads.jobs().count() == 0;
            fixture::wait_until("the job to end", has_ended).await;
        }
        assert_eq!((first.got().len(), second.got().len()), (ENOUGH, 0));
        Self {
            f,
            first,
            second,
            entry,
        }
    }

    async fn send(&self, path: &str) -> fixture::ClientResponse {
        self.f.send(&self.entry, "POST", path, "").await
    }

    /// Returns how many requests both servers got after the first ones.
    fn sent(&self) -> (usize, usize) {
        (self.first.got().len() - ENOUGH, self.second.got().len())
    }

    /// Returns the number of attempts in flight.
    fn jobs(&self) -> usize {
        self.entry.cx.state().loads.jobs().count()
    }

    fn failures(&self, server: &server::Server) -> f64 {
        let now = self.entry.cx.now();
        let state = self.entry.cx.state();
        state.loads.health(&server.id).failure_score(now)
    }
}

fn late(response: Response) -> Response {
    Response::Late(SLOW_MS, Box::new(response))
}

// Guards against a slow server that determines when a request is answered, and against a loser that
// goes on working or counts as failed.
#[gtest]
#[tokio::test]
async fn fast_second_server_answers_for_a_slow_first_one() -> Result<()> {
    for path in ["/again/a", "/stream/a", "/long/resumable/a"] {
        let s = Setup::on(path, true).await;
        s.first.respond_with(Response::Silent);

        let seen = s.send(path).await;

        fixture::wait_until("the connection to be closed", || s.first.abandoned() == 1).await;
        expect_that!((seen.status, seen.is_whole), eq((200, true)), "{path}");
        expect_that!(s.sent(), eq((1, 1)));
        expect_that!(s.failures(&s.first), eq(0.0));
        let address = s.entry.cx.settings.metrics.unwrap();
        let metrics = s.f.read(address, "/metrics").await.body;
        let won = r#"mustardshed_hedges_won_total{attempt="second"} 1"#;
        expect_that!(metrics, contains_substring(won));
        let cancelled = r#"mustardshed_attempts_total{outcome="cancelled"} 1"#;
        expect_that!(metrics, contains_substring(cancelled));
    }
    Ok(())
}

// Guards against an error of the second server that hides the answer of the first.
#[gtest]
#[tokio::test]
async fn first_server_still_answers_when_the_second_fails() -> Result<()> {
    for response in [
        Response::Whole(500, "failed"),
        Response::NotRun,
        Response::Closed,
    ] {
        let s = Setup::on("/again/a", true).await;
        s.first.respond_with(late(Response::Whole(200, "first")));
        s.second.respond_with(response.clone());

        let seen = s.send("/again/a").await;

        let answer = (seen.status, seen.body.as_str());
        expect_that!(answer, eq((200, "first")), "{response:?}");
        expect_that!(s.sent(), eq((1, 1)));
        expect_that!(s.failures(&s.second), gt(0.0));
    }
    Ok(())
}

// Guards against extra work beyond the share that the operators allow.
#[gtest]
#[tokio::test]
async fn request_beyond_the_share_has_one_attempt() -> Result<()> {
    let s = Setup::on("/again/a", true).await;
    for _ in 0..2 {
        s.first.respond_with(late(Response::Whole(200, "first")));
    }

    let hedged = s.send("/again/a").await;
    fixture::wait_until("the jobs to end", || s.jobs() == 0).await;
    let beyond = s.send("/again/a").await;

    expect_that!(
        (hedged.body.as_str(), beyond.body.as_str()),
        eq(("done", "first"))
    );
    expect_that!(s.sent(), eq((2, 1)));
    let address = s.entry.cx.settings.metrics.unwrap();
    let metrics = s.f.read(address, "/metrics").await.body;
    let denied = r#"mustardshed_hedges_denied_total{limit="share"} 1"#;
    verify_that!(metrics, contains_substring(denied))
}

// Guards against a third server for a request whose first attempt fails late, and against a second
// attempt that is dropped with it.
#[gtest]
#[tokio::test]
async fn second_attempt_is_the_retry_when_the_first_fails() -> Result<()> {
    let s = Setup::on("/again/a", true).await;
    s.first.respond_with(late(Response::Closed));
    let second = Box::new(Response::Whole(200, "second"));
    s.second.respond_with(Response::Late(SLOW_MS * 2, second));

    let seen = s.send("/again/a").await;

    expect_that!((seen.status, seen.body.as_str()), eq((200, "second")));
    expect_that!(s.failures(&s.first), gt(0.0));
    verify_that!(s.sent(), eq((1, 1)))
}

// Guards against "not run" for a request that one of its attempts may have run (ONCE).
#[gtest]
#[tokio::test]
async fn request_is_not_run_only_if_neither_attempt_has_run() -> Result<()> {
    let later = || Response::Late(SLOW_MS * 2, Box::new(Response::NotRun));
    let cases = [
        (Response::NotRun, Response::NotRun, 503),
        (Response::NotRun, later(), 503),
        (Response::Closed, Response::NotRun, 502),
        (Response::Closed, later(), 502),
    ];
    for (first, second, status) in cases {
        let s = Setup::on("/again/a", true).await;
        s.first.respond_with(late(first));
        s.second.respond_with(second);
        for _ in 0..4 {
            s.first.respond_with(Response::NotRun);
            s.second.respond_with(Response::NotRun);
        }

        let seen = s.send("/again/a").await;

        expect_that!(seen.status, eq(status));
        expect_that!(s.sent().1, ge(1));
    }
    Ok(())
}

// Guards against a second run of what may run once (ONCE), and against a change for operators who
// did not ask for it.
#[gtest]
#[tokio::test]
async fn call_that_runs_once_and_entry_without_the_settings_send_one_attempt() -> Result<()> {
    for (path, is_hedging) in [("/once/a", true), ("/again/a", false)] {
        let s = Setup::on(path, is_hedging).await;
        s.first.respond_with(late(Response::Whole(200, "first")));

        let seen = s.send(path).await;

        expect_that!((seen.status, seen.body.as_str()), eq((200, "first")));
        expect_that!(s.sent(), eq((1, 0)), "{path}");
    }
    Ok(())
}

// Guards against a stream on more servers than `max_attempts`.
#[gtest]
#[tokio::test]
async fn stream_with_two_attempts_is_not_resumed_at_a_third() -> Result<()> {
    let s = Setup::on("/stream/a", true).await;
    s.first.respond_with(Response::Silent);
    s.second.respond_with(Response::Events {
        ids: vec![1],
        ends: false,
    });

    let seen = s.send("/stream/a").await;

    expect_that!((seen.status, seen.is_whole), eq((200, false)));
    verify_that!(s.sent(), eq((1, 1)))
}

// Guards against resumed streams and suspected requests on two servers at a time (BUDGET).
#[gtest]
#[tokio::test]
async fn resumed_and_suspected_streams_have_one_attempt_at_a_time() -> Result<()> {
    let s = Setup::on("/stream/a", true).await;
    let parts = ["ca11e5", "a1"].map(str::to_owned);
    let crash = quarantine::Crash {
        server: "i-9".to_owned(),
        started_unix_ms: None,
        at: s.entry.cx.now(),
        suspects: quarantine::Suspect::new(&parts).into_iter().collect(),
    };
    s.entry.cx.record_crash(crash);

    for (name, value) in [("last-event-id", "1"), ("prompt-prefix", "ca11e5:40,b1:9")] {
        let events = Response::Events {
            ids: vec![2],
            ends: true,
        };
        s.first.respond_with(late(events));
        let headers = [("api-key", fixture::KEY), (name, value)];
        let seen = s.f.send_with(&s.entry, "POST", "/stream/a", "", &headers);
        expect_that!(seen.await.status, eq(200), "{name}");
        fixture::wait_until("the job to end", || s.jobs() == 0).await;
    }

    verify_that!(s.sent(), eq((2, 0)))
}

// Guards against work that goes on at either server after the client has left.
#[gtest]
#[tokio::test]
async fn both_attempts_are_cancelled_when_the_client_disconnects() -> Result<()> {
    let s = Setup::on("/again/a", true).await;
    s.first.respond_with(Response::Silent);
    s.second.respond_with(Response::Silent);

    {
        let sending = s.send("/again/a");
        tokio::pin!(sending);
        let arrived = fixture::wait_until("the second attempt", || s.sent() == (1, 1));
        tokio::select! {
            _ = &mut sending => panic!("there is a response although the servers sent none"),
            () = arrived => {}
        }
    }
    fixture::wait_until("the connections to be closed", || {
        (s.first.abandoned(), s.second.abandoned()) == (1, 1)
    })
    .await;

    verify_that!(s.jobs(), eq(0))
}

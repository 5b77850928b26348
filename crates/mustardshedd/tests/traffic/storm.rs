//! Random sequences of faults of servers and of the entry itself, checked against a small oracle.

use std::{env, time};

use mustardshed::core::{boundary::backend_server, error};
use proptest::{
    prelude::{Just, Strategy, any, prop_oneof},
    prop_assert, prop_assert_eq, proptest,
    test_runner::{self, TestCaseError},
};

use crate::fakes::{
    entry,
    servers::{self, After, Step},
};

/// Number of cases, unless the environment sets it.
const CASES: u32 = 96;
/// Seed, unless the environment sets it.
const SEED: u64 = 1;
/// Longest time for shrinking a failure, in milliseconds.
const MAX_SHRINK_MS: u32 = 20_000;
/// Identifier of the first request at an entry.
const ID: &str = "entry-1.1.1";
/// Full output of a prompt.
const OUTPUT: &str = "t0 t1 t2 ";
/// Deadline of each request, in milliseconds; [`entry::Entry::send`] fails a response that is late.
const DEADLINE_MS: u64 = 150;

/// Faults that one request meets.
#[derive(Clone, Debug)]
struct Storm {
    sends: Vec<Step>,
    resumes: Vec<Step>,
    credit_refusals: usize,
    freeze_ms: Option<u64>,
}

fn frames() -> impl Strategy<Value = Vec<backend_server::TokenFrame>> {
    let frame = (0..3_u64, proptest::bool::weighted(0.8)).prop_map(|(offset, is_own)| {
        let id = if is_own { ID } else { "entry-9.1.1" };
        servers::frame(id, offset, offset == 2)
    });
    proptest::collection::vec(frame, 0..8)
}

fn step() -> impl Strategy<Value = Step> {
    let after = prop_oneof![
        3 => Just(After::Finish),
        3 => Just(After::Break),
        1 => Just(After::Stall),
    ];
    prop_oneof![
        6 => (frames(), after).prop_map(|(frames, after)| Step::Noise(frames, after)),
        2 => Just(Step::Fail(servers::refused())),
        2 => Just(Step::Fail(servers::unreachable())),
        2 => Just(Step::Fail(servers::broken())),
        1 => Just(Step::Hang),
    ]
}

fn call_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Answer(200, "ok")),
        2 => Just(Step::Fail(servers::refused())),
        2 => Just(Step::Fail(servers::unreachable())),
        3 => Just(Step::Fail(servers::broken())),
        1 => Just(Step::Late(time::Duration::from_millis(2 * DEADLINE_MS), 200, "late")),
    ]
}

fn storm(step: impl Strategy<Value = Step>) -> impl Strategy<Value = Storm> {
    let sends = proptest::collection::vec(step, 0..5);
    let resumes = proptest::collection::vec(self::step(), 0..4);
    let freeze = proptest::option::weighted(0.3, 50..4_000_u64);
    (sends, resumes, 0..3_usize, freeze).prop_map(|(sends, resumes, refusals, freeze_ms)| Storm {
        sends,
        resumes,
        credit_refusals: refusals,
        freeze_ms,
    })
}

async fn start(storm: &Storm) -> entry::Entry {
    let entry = entry::Entry::start().await;
    for step in &storm.sends {
        entry.servers.then(step.clone());
    }
    for step in &storm.resumes {
        entry.servers.then_on_resume(step.clone());
    }
    for _ in 0..storm.credit_refusals {
        let err = error::Error::not_run(error::ErrorKind::Overloaded, "full");
        entry.control.refuse_next(err);
    }
    if let Some(millis) = storm.freeze_ms {
        let time = time::Duration::from_millis(millis);
        entry.control.freeze_after_next_credit(time);
    }
    entry
}

/// Returns the text of a streamed response.
fn streamed_text(body: &str) -> String {
    let events = body.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
    events
        .filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok())
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

/// Returns the outcome that a response, whole or streamed, reports.
fn reported(response: &entry::Response) -> String {
    let is_error = |event: &&str| event.contains("\"outcome\"");
    let event = response.body.split("data: ").find(is_error);
    let error: serde_json::Value = event
        .and_then(|event| serde_json::from_str(event.trim()).ok())
        .unwrap_or_default();
    error["outcome"].as_str().unwrap_or("completed").to_owned()
}

async fn check_prompt(storm: Storm, is_streamed: bool) -> Result<(), TestCaseError> {
    let entry = start(&storm).await;
    let body = if is_streamed {
        entry::STREAMED
    } else {
        entry::PROMPT
    };

    let response = entry.complete(body, DEADLINE_MS).await;

    entry.assert_balanced().await;
    let text = if is_streamed {
        streamed_text(&response.body)
    } else {
        response.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    prop_assert!(OUTPUT.starts_with(&text), "{text}");
    let ran = entry.servers.count("ran");
    let sent = entry.servers.count("generate");
    prop_assert!(sent <= entry.control.seen(|seen| seen.granted.len()));
    match reported(&response).as_str() {
        "completed" => prop_assert_eq!(text.as_str(), OUTPUT),
        "not_run" => prop_assert_eq!(ran, 0),
        "failed" => prop_assert!(ran > 0),
        other => prop_assert!(false, "{other}"),
    }
    Ok(())
}

async fn check_charge(storm: Storm) -> Result<(), TestCaseError> {
    let entry = start(&storm).await;
    let req = entry
        .request("POST", "/services/ledger/charge")
        .header("x-deadline-ms", DEADLINE_MS);

    let response = entry.send(req, "{}").await;

    entry.assert_balanced().await;
    let ran = entry.servers.count("ran");
    prop_assert!(ran <= 1);
    let reported = reported(&response);
    prop_assert!((reported == "not_run") == (ran == 0), "{reported} {ran}");
    let settled = entry.control.seen(|seen| seen.settled.last().cloned());
    let settled = settled.map(|fate| fate.outcome.as_str());
    prop_assert!(
        (settled == Some("not_run")) == (ran == 0),
        "{settled:?} {ran}"
    );
    Ok(())
}

/// Returns a run of [`CASES`] from a fixed seed, unless the environment sets other values.
fn config() -> test_runner::Config {
    test_runner::Config {
        cases: setting("MUSTARDSHED_CASES").unwrap_or(CASES),
        rng_seed: test_runner::RngSeed::Fixed(setting("MUSTARDSHED_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_time: MAX_SHRINK_MS,
        ..test_runner::Config::default()
    }
}

fn setting<T: std::str::FromStr>(name: &str) -> Option<T> {
    env::var(name).ok()?.parse().ok()
}

fn run(check: impl Future<Output = Result<(), TestCaseError>>) -> Result<(), TestCaseError> {
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    rt.block_on(check)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn prompt_is_full_or_its_outcome_is_true(storm in storm(step()), is_streamed in any::<bool>()) {
        run(check_prompt(storm, is_streamed))?;
    }

    #[test]
    fn charge_runs_at_most_once_and_its_outcome_is_true(storm in storm(call_step())) {
        run(check_charge(storm))?;
    }
}

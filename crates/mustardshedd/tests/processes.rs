//! Fleets of real processes: prompts of every length, at-most-once calls and failures.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

use std::{collections, fs, net, time};

use futures_util::future;
use googletest::prelude::*;
use mustardshed_standins::{
    caller,
    demo::{check, prompt},
    fleet::{self, spec},
};
use serde_json::json;
use tokio::sync;

const ACCOUNT: &str = "st-marks";
const MODEL: &str = "drafting-drafts";
const CHARGE: &str = "/services/payments/charge";
const OUTPUT_TOKENS: u64 = 16;
/// Number of log lines of each entry that are printed with a failure.
const DECISIONS: usize = 60;
/// Time within which a change of the configuration or the loss of a process must take effect.
const EFFECT_TIME: time::Duration = time::Duration::from_secs(5);

/// Time in which a process that does not handle a signal is ended by it.
const DEATH_TIME: time::Duration = time::Duration::from_millis(300);
/// Number of starts of an entry that is told to stop as soon as it listens.
const STARTS: usize = 10;
/// Longest wait for the exit of an entry that was told to stop.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Fleets run one at a time, since each is a dozen processes.
static ONE_AT_A_TIME: sync::Mutex<()> = sync::Mutex::const_new(());

struct Fixture {
    fleet: fleet::Fleet,
    callers: Vec<caller::Caller>,
    _turn: sync::MutexGuard<'static, ()>,
}

async fn fixture(engines: usize) -> Fixture {
    let turn = ONE_AT_A_TIME.lock().await;
    let fleet = fleet::Fleet::start(&spec::Spec::small(engines, 3))
        .await
        .unwrap();
    let key = fleet::key_of(ACCOUNT);
    let open = |entry: &fleet::entry::Entry| caller::Caller::open(&entry.url(), &key);
    Fixture {
        callers: fleet.entries.iter().map(open).collect(),
        fleet,
        _turn: turn,
    }
}

impl Fixture {
    /// Sends a prompt to an entry, checks the completion and returns the servers that worked on it.
    async fn prompt(&self, entry: usize, title: &str, tokens: u64) -> Vec<String> {
        let prompt = prompt::of_tokens(title, tokens);
        let caller = &self.callers[entry];
        let completion = caller.complete(MODEL, &prompt, OUTPUT_TOKENS, |_| {}).await;
        let completion = completion.map_err(|e| format!("{e:?}\n{}", self.decisions()));
        let completion = completion.unwrap();
        check::completion(&prompt, OUTPUT_TOKENS, &completion).unwrap();
        let fate = caller.fate(&completion.request_id).await.unwrap();
        assert_that!(fate.outcome, eq("completed"));
        fate.servers
    }

    /// Makes a change with the operators' client, and waits until it has taken effect everywhere.
    async fn change(&self, args: &[&str]) {
        self.fleet.ctl(args).await.unwrap();
        tokio::time::sleep(EFFECT_TIME).await;
    }

    /// Sends prompts to all entries at once, too many for one idle engine, and returns the
    /// servers that worked on them.
    async fn prompts_at_once(&self, title: &str) -> collections::BTreeSet<String> {
        let titles: Vec<String> = (0..12).map(|i| format!("{title} {i}")).collect();
        let prompts = titles.iter().enumerate();
        let prompts = prompts.map(|(i, title)| self.prompt(i % 3, title, 50_000));
        let servers = future::join_all(prompts).await;
        servers.into_iter().flatten().collect()
    }

    async fn charge(
        &self,
        entry: usize,
        key: &str,
    ) -> std::result::Result<caller::charge::Charge, caller::error::Error> {
        let body = json!({ "deposit": 120 });
        self.callers[entry].charge(CHARGE, key, &body).await
    }

    /// Waits for the exit of an entry that was told to stop, and returns its exit code.
    async fn exit_code_of(&mut self, entry: usize) -> Option<i32> {
        let process = &mut self.fleet.entries[entry].process;
        let begun = time::Instant::now();
        while process.is_running() && begun.elapsed() < STOP_TIMEOUT {
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
        process.exit_code()
    }

    async fn executions(&self) -> usize {
        let records = self.fleet.records(&self.fleet.services[0]).await.unwrap();
        records.as_array().unwrap().len()
    }

    async fn platform_faults(&self, faults: serde_json::Value) {
        let platform = &self.fleet.platform;
        self.fleet.set_faults(platform, &faults).await.unwrap();
    }

    /// Returns the last log lines of every entry, to explain a failure.
    fn decisions(&self) -> String {
        let log = |vm: &str| self.fleet.files.folder.join(format!("{vm}.log"));
        let logs = self.fleet.entries.iter().map(|entry| log(&entry.vm_id));
        let logs: Vec<String> = logs.flat_map(fs::read_to_string).collect();
        let latest = |log: &String| -> Vec<String> {
            let lines: Vec<&str> = log.lines().collect();
            let start = lines.len().saturating_sub(DECISIONS);
            lines[start..].iter().map(|line| line.to_string()).collect()
        };
        logs.iter().flat_map(latest).collect::<Vec<_>>().join("\n")
    }

    /// Returns the names of the engines of a data centre.
    fn engines_of(&self, spec: &spec::Spec, data_centre: &str) -> collections::BTreeSet<String> {
        let there = spec.engines.iter().filter(|e| e.data_centre == data_centre);
        there.map(|engine| engine.name.clone()).collect()
    }
}

#[tokio::test]
async fn prompts_of_every_length_complete_and_leave_no_memory_held() {
    let f = fixture(9).await;

    let short = f.prompt(0, "draft", 1_000).await;
    let long = f.prompt(1, "chapter", 200_000).await;
    let longest = f.prompt(2, "book", 1_000_000).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;

    assert_that!(short.len(), eq(1));
    assert_that!(long.len(), eq(1));
    assert_that!(longest.len(), eq(3));
    for engine in &f.fleet.engines {
        let records = f.fleet.records(engine).await.unwrap();
        assert_that!(records["used_tokens"], eq(&json!(0)), "{}", engine.name);
        assert_that!(records["reserved_tokens"], eq(&json!(0)), "{}", engine.name);
    }
}

#[tokio::test]
async fn call_sent_with_one_key_to_every_entry_at_once_runs_once() {
    let f = fixture(1).await;

    let (a, b, c) = tokio::join!(
        f.charge(0, "deposit"),
        f.charge(1, "deposit"),
        f.charge(2, "deposit")
    );
    let again = f.charge(1, "deposit").await.unwrap();

    assert_that!(f.executions().await, eq(1));
    for answer in [a, b, c] {
        match answer {
            Ok(charge) => assert_that!(charge.answer, eq(&again.answer)),
            Err(e) => assert_that!(e.code(), some(eq("idempotency_key_in_progress"))),
        }
    }
}

#[tokio::test]
async fn call_whose_response_was_lost_is_never_run_again() {
    let f = fixture(1).await;
    let faults = json!({ "lose_answers": 1 });
    let service = &f.fleet.services[0];
    f.fleet.set_faults(service, &faults).await.unwrap();

    let lost = f.charge(0, "deposit").await.unwrap_err();
    let again = f.charge(1, "deposit").await.unwrap_err();

    assert_that!(lost.outcome(), some(eq("unknown")), "{lost}");
    assert_that!(again.outcome(), some(eq("unknown")), "{again}");
    assert_that!(f.executions().await, eq(1));
}

#[tokio::test]
async fn call_runs_at_most_once_when_the_response_to_its_claim_is_lost() {
    let f = fixture(1).await;
    f.platform_faults(json!({ "lose_answers": 1, "lose_answers_kind": "claim" }))
        .await;

    let first = f.charge(0, "deposit").await;
    let executed = f.executions().await;
    let second = f.charge(1, "deposit").await;

    match first {
        Ok(_) => assert_that!(executed, eq(1)),
        Err(e) if e.outcome() == Some("not_run") => assert_that!(executed, eq(0)),
        Err(e) => assert_that!(e.outcome(), some(eq("unknown")), "{e}"),
    }
    assert_that!(f.executions().await, le(1), "{second:?}");
}

#[tokio::test]
async fn fate_of_a_call_is_reported_after_its_entry_was_killed() {
    let mut f = fixture(1).await;
    let charge = f.charge(0, "deposit").await.unwrap();

    f.fleet.entries[0].process.kill();
    let at_once = f.callers[1].fate(&charge.request_id).await.unwrap();
    tokio::time::sleep(EFFECT_TIME).await;
    let later = f.callers[2].fate(&charge.request_id).await.unwrap();
    let again = f.charge(2, "deposit").await.unwrap();

    assert_that!(at_once.outcome, eq("completed"));
    assert_that!(later.outcome, eq("completed"));
    assert_that!(again.answer, eq(&charge.answer));
    assert_that!(f.executions().await, eq(1));
}

#[tokio::test]
async fn outage_of_the_platform_refuses_calls_as_not_run_and_serves_prompts() {
    let f = fixture(3).await;
    // Entries can vote for the configuration once confirmed for longer than an intent stays valid.
    tokio::time::sleep(EFFECT_TIME).await;
    f.platform_faults(json!({ "outage": true })).await;
    tokio::time::sleep(EFFECT_TIME).await;

    let refused = f.charge(0, "deposit").await.unwrap_err();
    for entry in 0..3 {
        f.prompt(entry, "draft", 1_000).await;
    }
    let executed = f.executions().await;
    f.platform_faults(json!({ "outage": false })).await;
    tokio::time::sleep(EFFECT_TIME).await;
    let answered = f.charge(0, "deposit").await;

    assert_that!(
        refused.code(),
        some(eq("platform_unavailable")),
        "{refused}"
    );
    assert_that!(refused.outcome(), some(eq("not_run")));
    assert_that!(executed, eq(0));
    assert_that!(answered, ok(anything()));
}

#[tokio::test]
async fn entries_keep_serving_when_one_is_killed() {
    let mut f = fixture(3).await;
    f.prompt(0, "draft", 1_000).await;

    f.fleet.entries[0].process.kill();
    for entry in [1, 2] {
        f.prompt(entry, "draft", 1_000).await;
    }
    tokio::time::sleep(EFFECT_TIME).await;
    for entry in [1, 2] {
        f.prompt(entry, "chapter", 100_000).await;
        f.charge(entry, &format!("deposit-{entry}")).await.unwrap();
    }

    assert_that!(f.executions().await, eq(2));
}

#[tokio::test]
async fn data_centre_that_is_out_gets_no_new_work_until_it_is_back() {
    let f = fixture(3).await;
    let there = f.engines_of(&spec::Spec::small(3, 3), "east");
    f.change(&["data-centre", "out", "east"]).await;

    let during = f.prompts_at_once("draft").await;
    f.change(&["data-centre", "in", "east"]).await;
    f.change(&["data-centre", "out", "mid"]).await;
    f.change(&["data-centre", "out", "west"]).await;
    let after = f.prompts_at_once("later draft").await;

    let seen = f.decisions();
    assert_that!(during.is_disjoint(&there), eq(true), "{during:?} {seen}");
    assert_that!(after, eq(&there), "{seen}");
}

#[tokio::test]
async fn prompts_that_come_at_once_are_spread_over_idle_engines() {
    let f = fixture(3).await;

    let servers = f.prompts_at_once("draft").await;

    assert_that!(servers.len(), eq(3), "{servers:?} {}", f.decisions());
}

#[tokio::test]
async fn planned_stop_of_an_entry_cuts_off_no_request() {
    let mut f = fixture(3).await;
    let running = f.prompt(0, "book", 300_000);

    let ((), servers) = tokio::join!(
        async {
            tokio::time::sleep(time::Duration::from_millis(200)).await;
            f.fleet.entries[0].process.terminate();
        },
        running
    );
    let exit_code = f.exit_code_of(0).await;

    assert_that!(servers.len(), eq(1));
    assert_that!(exit_code, some(eq(0)));
}

// Guards against a stop without a drain: the entry listened before it handled the signal.
#[tokio::test]
async fn signal_right_after_an_entry_listens_begins_a_planned_stop() {
    let mut f = fixture(1).await;
    let files = f.fleet.files.clone();

    let mut still_running = 0;
    for _ in 0..STARTS {
        let entry = &mut f.fleet.entries[0];
        entry.restart(&files).unwrap();
        wait_until_listening(&entry.peer_address);
        entry.process.terminate();
        tokio::time::sleep(DEATH_TIME).await;
        still_running += usize::from(entry.process.is_running());
    }
    f.fleet.entries[0].process.terminate();
    let exit_code = f.exit_code_of(0).await;

    assert_that!(still_running, eq(STARTS));
    assert_that!(exit_code, some(eq(0)));
}

/// Waits, without a pause, until a process listens on `address`.
fn wait_until_listening(address: &str) {
    let begun = time::Instant::now();
    while net::TcpStream::connect(address).is_err() {
        assert!(
            begun.elapsed() < STOP_TIMEOUT,
            "nobody listens on {address}"
        );
        std::thread::yield_now();
    }
}

#[tokio::test]
async fn planned_stop_in_an_outage_does_not_lose_the_fate_of_a_call() {
    let mut f = fixture(1).await;
    let slow = json!({ "slow_percent": 100_000 });
    let service = &f.fleet.services[0];
    f.fleet.set_faults(service, &slow).await.unwrap();

    // The call is claimed before the outage and gets its response during it.
    let (answered, ()) = tokio::join!(f.charge(0, "deposit"), async {
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        f.platform_faults(json!({ "outage": true })).await;
    });
    f.fleet.entries[0].process.terminate();
    // Longer than a leaving entry accepts requests.
    tokio::time::sleep(time::Duration::from_secs(18)).await;
    f.platform_faults(json!({ "outage": false })).await;
    let exit_code = f.exit_code_of(0).await;
    tokio::time::sleep(EFFECT_TIME).await;
    let repeated = f.charge(1, "deposit").await;

    let answer = answered.unwrap().answer;
    assert_that!(exit_code, some(eq(0)));
    assert_that!(repeated.unwrap().answer, eq(&answer));
    assert_that!(f.executions().await, eq(1));
}

#[tokio::test]
async fn prompt_completes_although_its_engine_is_killed() {
    let mut f = fixture(3).await;
    for engine in &f.fleet.engines {
        let slow = json!({ "slow_percent": 400 });
        f.fleet.set_faults(engine, &slow).await.unwrap();
    }
    let prompt = prompt::of_tokens("chapter", 300_000);
    let caller = f.callers[0].clone();

    let running = tokio::spawn(async move {
        let completion = caller.complete(MODEL, &prompt, OUTPUT_TOKENS, |_| {}).await;
        completion.map(|whole| check::completion(&prompt, OUTPUT_TOKENS, &whole))
    });
    let Some(working) = working_engine(&f).await else {
        panic!("no engine works: {:?} {}", running.await, f.decisions());
    };
    f.fleet.engines[working].kill();

    assert_that!(running.await.unwrap(), ok(ok(anything())));
}

/// Waits until an engine holds memory for a request, and returns its index.
async fn working_engine(f: &Fixture) -> Option<usize> {
    let begun = time::Instant::now();
    while begun.elapsed() < EFFECT_TIME {
        for (i, engine) in f.fleet.engines.iter().enumerate() {
            let records = f.fleet.records(engine).await.unwrap();
            if records["used_tokens"] != json!(0) {
                return Some(i);
            }
        }
    }
    None
}

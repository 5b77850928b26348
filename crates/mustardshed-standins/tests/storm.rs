//! Checks of the storm: each one detects violations of its promise.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_standins::{
    load::outcome,
    storm::{attempt, checks, entry_log, evidence, fault, note, records, schedule, stop, timeline},
};

const ENTRY: &str = "http://127.0.0.1:1";
const NOW_MS: u64 = 1_000_000;

/// Returns evidence without faults: one entry, one engine and one server of a plain service.
fn calm() -> evidence::Evidence {
    let engine = records::EngineRecords {
        requests: vec![request("e.1.1", NOW_MS)],
        fell_over: 0,
        max_running_cold: 1,
        used_tokens: 0,
        reserved_tokens: 0,
    };
    let service = records::ServiceRecords {
        executions: vec![execution(1, "e.1.2", "body")],
        counts: records::ServiceCounts::default(),
    };
    let charge = attempt::Attempt {
        answer: Some(serde_json::json!({ "execution": 1 })),
        ..attempt("e.1.2", outcome::Outcome::Completed)
    };
    let names = [("engine", "east"), ("payments", "west")];
    evidence::Evidence {
        records: records::Records {
            engines: collections::BTreeMap::from([("engine".to_owned(), engine)]),
            services: collections::BTreeMap::from([("payments".to_owned(), service)]),
            accepted: vec![accepted(1, NOW_MS, &[])],
        },
        completions: vec![note::Completion {
            sort: note::Sort::Short,
            attempts: vec![attempt("e.1.1", outcome::Outcome::Completed)],
        }],
        charges: vec![note::Charge {
            body_sha256: "body".to_owned(),
            attempts: vec![charge],
            repeats: Vec::new(),
        }],
        fates: Vec::new(),
        spans: Vec::new(),
        stops: Vec::new(),
        runs: vec![run(&[(NOW_MS + 10, 1)])],
        vms: collections::BTreeMap::from([(ENTRY.to_owned(), "e".to_owned())]),
        data_centres: names
            .map(|(name, data_centre)| (name.to_owned(), data_centre.to_owned()))
            .into(),
        cold_limits: names.map(|(name, _)| (name.to_owned(), 2)).into(),
        storm_ms: (NOW_MS - 1_000, NOW_MS + 60_000),
    }
}

fn request(id: &str, at_ms: u64) -> records::EngineRequest {
    records::EngineRequest {
        id: id.to_owned(),
        at_ms,
        refused: None,
        outcome: "finished".to_owned(),
    }
}

fn execution(number: u64, id: &str, body: &str) -> records::Execution {
    records::Execution {
        execution: number,
        request_id: id.to_owned(),
        at_ms: NOW_MS,
        body_sha256: body.to_owned(),
    }
}

fn attempt(id: &str, outcome: outcome::Outcome) -> attempt::Attempt {
    attempt::Attempt {
        entry: ENTRY.to_owned(),
        request_id: id.to_owned(),
        sent_ms: NOW_MS,
        ended_ms: NOW_MS + 100,
        deadline: time::Duration::from_secs(8),
        list_age: time::Duration::from_secs(1),
        outcome,
        answer: None,
    }
}

fn not_run() -> outcome::Outcome {
    outcome::Outcome::Told {
        outcome: "not_run".to_owned(),
        code: "overloaded".to_owned(),
    }
}

fn accepted(generation: u64, at_ms: u64, out: &[&str]) -> records::Accepted {
    records::Accepted {
        generation,
        at_ms,
        data_centres_out: Some(out.iter().map(|name| (*name).to_owned()).collect()),
    }
}

fn run(in_force: &[(u64, u64)]) -> evidence::EntryRun {
    let seen = |(at_ms, generation): &(u64, u64)| entry_log::InForce {
        day_ms: at_ms % 86_400_000,
        generation: *generation,
    };
    evidence::EntryRun {
        vm: "e".to_owned(),
        in_force: in_force.iter().map(seen).collect(),
    }
}

fn span(kind: fault::Kind, target: &str, from_ms: u64, until_ms: u64) -> timeline::Span {
    timeline::Span {
        kind,
        target: target.to_owned(),
        from_ms,
        until_ms,
    }
}

/// Returns the numbers of the violated promises.
fn violated(evidence: &evidence::Evidence) -> Vec<u32> {
    let verdicts = checks::all(evidence);
    let violated = verdicts.iter().filter(|verdict| !verdict.is_ok());
    violated.map(|verdict| verdict.promise).collect()
}

/// Applies `change` to evidence without faults and returns the violated promises.
fn violated_after(change: impl FnOnce(&mut evidence::Evidence)) -> Vec<u32> {
    let mut evidence = calm();
    change(&mut evidence);
    violated(&evidence)
}

#[gtest]
fn calm_fleet_violates_nothing() {
    let found = violated(&calm());

    expect_that!(found, is_empty());
}

#[gtest]
fn late_and_missing_answers_are_noticed_unless_the_entry_was_struck() {
    let late = |evidence: &mut evidence::Evidence| {
        evidence.completions[0].attempts[0].ended_ms = NOW_MS + 8_101;
    };
    let missing = |evidence: &mut evidence::Evidence| {
        evidence.completions[0].attempts[0].outcome = outcome::Outcome::Cut;
    };
    let killed = |evidence: &mut evidence::Evidence| {
        missing(evidence);
        let kind = fault::Kind::EntryKilled;
        evidence
            .spans
            .push(span(kind, "e", NOW_MS + 50, NOW_MS + 90));
    };

    expect_that!(violated_after(late), elements_are![eq(&1)]);
    expect_that!(violated_after(missing), elements_are![eq(&1)]);
    expect_that!(violated_after(killed), is_empty());
}

#[gtest]
fn kept_memory_and_falls_are_noticed() {
    let kept = violated_after(|evidence| {
        let engine = evidence.records.engines.get_mut("engine").unwrap();
        engine.reserved_tokens = 1;
    });
    let fell = violated_after(|evidence| {
        let engine = evidence.records.engines.get_mut("engine").unwrap();
        engine.max_running_cold = 3;
    });

    expect_that!(kept, elements_are![eq(&2)]);
    expect_that!(fell, elements_are![eq(&3)]);
}

#[gtest]
fn work_in_a_data_centre_taken_out_is_noticed_between_5_s_and_its_return() {
    let after = |ms: u64| {
        violated_after(|evidence| {
            let changes = [
                accepted(2, NOW_MS + 1_000, &["east"]),
                accepted(3, NOW_MS + 9_000, &[]),
            ];
            evidence.records.accepted.extend(changes);
            evidence.runs = vec![run(&[
                (NOW_MS + 10, 1),
                (NOW_MS + 1_010, 2),
                (NOW_MS + 9_010, 3),
            ])];
            let engine = evidence.records.engines.get_mut("engine").unwrap();
            engine.requests.push(request("e.1.3", NOW_MS + ms));
        })
    };

    expect_that!(after(5_900), is_empty());
    expect_that!(after(6_100), elements_are![eq(&4)]);
    expect_that!(after(9_100), is_empty());
}

#[gtest]
fn wrong_answers_and_false_refusals_are_noticed() {
    let wrong = violated_after(|evidence| {
        evidence.completions[0].attempts[0].outcome = outcome::Outcome::Wrong;
    });
    let refused = violated_after(|evidence| {
        evidence.completions[0].attempts[0].outcome = not_run();
    });

    expect_that!(wrong, elements_are![eq(&5)]);
    expect_that!(refused, elements_are![eq(&6)]);
}

#[gtest]
fn charges_executed_twice_or_answered_otherwise_are_noticed() {
    let twice = violated_after(|evidence| {
        let service = evidence.records.services.get_mut("payments").unwrap();
        service.executions.push(execution(2, "e.1.3", "body"));
    });
    let otherwise = violated_after(|evidence| {
        let mut repeat = evidence.charges[0].attempts[0].clone();
        repeat.answer = Some(serde_json::json!({ "execution": 2 }));
        evidence.charges[0].repeats.push(repeat);
    });

    expect_that!(twice, elements_are![eq(&7)]);
    expect_that!(otherwise, elements_are![eq(&7)]);
}

#[gtest]
fn work_on_a_leaving_server_is_noticed_after_5_s() {
    let after = |ms: u64| {
        violated_after(|evidence| {
            let kind = fault::Kind::ServerLeaving;
            let leaving = span(kind, "engine", NOW_MS, NOW_MS + 9_000);
            evidence.spans.push(leaving);
            let engine = evidence.records.engines.get_mut("engine").unwrap();
            engine.requests.push(request("e.1.3", NOW_MS + ms));
        })
    };

    expect_that!(after(4_900), is_empty());
    expect_that!(after(5_100), elements_are![eq(&8)]);
}

#[gtest]
fn planned_stops_that_fail_or_cut_calls_off_are_noticed() {
    let stop = |exit_code| stop::Stop {
        vm: "e".to_owned(),
        told_ms: NOW_MS + 50,
        ended_ms: NOW_MS + 20_000,
        exit_code,
    };
    let failed = violated_after(|evidence| evidence.stops.push(stop(Some(1))));
    let turned_away = violated_after(|evidence| {
        evidence.stops.push(stop(Some(0)));
        evidence.completions[0].attempts[0].outcome = outcome::Outcome::NoConnection;
    });

    expect_that!(failed, elements_are![eq(&9)]);
    expect_that!(turned_away, elements_are![eq(&9)]);
}

#[gtest]
fn generations_that_revert_or_come_late_are_noticed() {
    let reverted = violated_after(|evidence| {
        evidence.runs = vec![run(&[(NOW_MS + 10, 2), (NOW_MS + 20, 1)])];
    });
    let late = violated_after(|evidence| {
        evidence.runs = vec![run(&[(NOW_MS + 5_001, 1)])];
    });

    expect_that!(reverted, elements_are![eq(&10)]);
    expect_that!(late, elements_are![eq(&10)]);
}

#[gtest]
fn fates_that_contradict_the_records_are_noticed() {
    let told = |outcome: &str| {
        violated_after(|evidence| {
            evidence.fates.push(note::Fate {
                attempt: evidence.completions[0].attempts[0].clone(),
                asked: ENTRY.to_owned(),
                asked_ms: NOW_MS + 2_000,
                status: 200,
                outcome: outcome.to_owned(),
            });
        })
    };

    expect_that!(told("completed"), is_empty());
    expect_that!(told("unknown"), is_empty());
    for outcome in ["not_run", "failed", "running"] {
        expect_that!(told(outcome), elements_are![eq(&11)]);
    }
}

#[gtest]
fn storm_brings_every_fault_alone_before_faults_overlap() {
    let duration = time::Duration::from_secs(180);

    let planned = schedule::of_seed(7, duration);

    let alone = planned.iter().take(fault::Kind::ALL.len());
    let kinds: collections::BTreeSet<fault::Kind> = alone.map(|planned| planned.kind).collect();
    expect_that!(kinds.len(), eq(fault::Kind::ALL.len()));
    expect_that!(planned.len(), gt(2 * fault::Kind::ALL.len()));
    expect_that!(planned, eq(&schedule::of_seed(7, duration)));
}

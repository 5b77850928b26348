//! Writes of a configuration while responses are lost, operators race and entries do not respond.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed::core::{boundary::platform, version::record};
use mustardshedctl::{apply, exit, record_change, wait};

use crate::fakes;

const TEXT: &str = "[[data_centre]]\nname = 'oak'\nregion = 'south'\n";
const LIVE: [(&str, platform::VmState); 3] = [
    ("a", platform::VmState::Live),
    ("b", platform::VmState::Live),
    ("c", platform::VmState::Live),
];

type Written = std::result::Result<apply::Receipt, apply::ApplyError>;

fn record(generation: u64, out: &[&str], nonce: &str) -> record::Record {
    record::Record {
        generation,
        text: TEXT.to_owned(),
        data_centres_out: out.iter().map(|&name| name.to_owned()).collect(),
        nonce: nonce.to_owned(),
        author: "other".to_owned(),
    }
}

fn base() -> record::Record {
    record(1, &[], "first")
}

async fn take_out(platform: &fakes::Platform, entries: &fakes::Entries) -> Written {
    take_out_within(time::Duration::from_secs(60), platform, entries).await
}

async fn take_out_within(
    settle_timeout: time::Duration,
    platform: &fakes::Platform,
    entries: &fakes::Entries,
) -> Written {
    let edit = apply::Edit::DataCentreOut("oak".to_owned());
    apply::Writer::new(platform, entries, "operator")
        .settle_timeout(settle_timeout)
        .settle_interval(time::Duration::from_millis(5))
        .write(&edit, None)
        .await
}

fn updates(log: &fakes::Log) -> usize {
    let calls = fakes::logged(log);
    let updates = calls
        .iter()
        .filter(|call| call.starts_with("put configuration"));
    updates.count()
}

#[googletest::test]
#[tokio::test]
async fn intents_come_before_the_update_and_commits_and_history_after_it() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&LIVE[..2]);
    let entries = fakes::Entries::open(&log);

    let receipt = take_out(&platform, &entries).await;

    expect_that!(receipt, ok(field!(apply::Receipt.warnings, is_empty())));
    expect_that!(
        fakes::logged(&log),
        elements_are![
            eq("get configuration/current"),
            eq("intent 2 to a"),
            eq("intent 2 to b"),
            eq("put configuration/current at 1"),
            eq("commit 2 to a"),
            eq("commit 2 to b"),
            eq("put history/00000000000000000001 at 0"),
            eq("put history/00000000000000000002 at 0"),
        ]
    );
}

#[googletest::test]
#[tokio::test]
async fn a_lost_answer_that_took_effect_is_recognised_by_its_nonce() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&LIVE)
        .with_fault(fakes::Fault::LostAfter);

    let receipt = take_out(&platform, &fakes::Entries::open(&log)).await;

    let written = receipt.map(|receipt| receipt.record).ok();
    expect_that!(written, some(anything()));
    expect_that!(platform.current(), eq(&written));
    expect_that!(updates(&log), eq(1));
}

#[googletest::test]
#[tokio::test]
async fn a_lost_answer_without_effect_is_read_back_before_the_same_update_is_repeated() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&LIVE[..1])
        .with_fault(fakes::Fault::LostBefore);

    let receipt = take_out(&platform, &fakes::Entries::open(&log)).await;

    expect_that!(
        platform.current(),
        eq(&receipt.ok().map(|receipt| receipt.record))
    );
    expect_that!(
        fakes::logged(&log)[2..5],
        elements_are![
            eq("put configuration/current at 1"),
            eq("get configuration/current"),
            eq("put configuration/current at 1"),
        ]
    );
}

#[googletest::test]
#[tokio::test]
async fn a_racing_operator_wins_and_the_conflict_shows_what_changed() -> Result<()> {
    for lost in [false, true] {
        let log = fakes::Log::default();
        let winner = record(2, &["oak"], "winner");
        let fault = if lost {
            fakes::Fault::LostBeforeRaced(winner.clone())
        } else {
            fakes::Fault::RacedBefore(winner.clone())
        };
        let platform = fakes::Platform::open(&log)
            .with_record(&base())
            .with_entries(&LIVE)
            .with_fault(fault);

        let written = take_out(&platform, &fakes::Entries::open(&log)).await;

        let Err(apply::ApplyError::Conflict { expected, found }) = written else {
            return fail!("not a conflict: {written:?}");
        };
        let change = record_change::RecordChange::DataCentreOut("oak".to_owned());
        expect_that!(expected, eq(1));
        expect_that!(
            found.map(|found| found.changes),
            some(elements_are![eq(&change)])
        );
        expect_that!(platform.current(), some(eq(&winner)));
        expect_that!(updates(&log), eq(1));
    }
    Ok(())
}

#[googletest::test]
#[tokio::test]
async fn a_write_that_was_replaced_at_once_is_settled_by_the_history_or_not_at_all() {
    for (stored, expected) in [(true, None), (false, Some(exit::ExitStatus::Unknown))] {
        let log = fakes::Log::default();
        let by = record(3, &[], "winner");
        let platform = fakes::Platform::open(&log)
            .with_record(&base())
            .with_entries(&LIVE)
            .with_fault(fakes::Fault::LostThenReplaced { by, stored });

        let written = take_out(&platform, &fakes::Entries::open(&log)).await;

        let status = written.as_ref().map_err(apply::ApplyError::exit_status);
        expect_that!(status.err(), eq(expected));
        expect_that!(updates(&log), eq(1));
    }
}

#[googletest::test]
#[tokio::test]
async fn a_lost_answer_that_cannot_be_read_back_is_unknown() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&LIVE)
        .with_fault(fakes::Fault::LostAfter)
        .with_failing_reads(usize::MAX);

    let limit = time::Duration::from_millis(20);
    let written = take_out_within(limit, &platform, &fakes::Entries::open(&log)).await;

    let status = written.as_ref().map_err(apply::ApplyError::exit_status);
    expect_that!(status.err(), some(eq(exit::ExitStatus::Unknown)));
    expect_that!(updates(&log), eq(1));
}

#[googletest::test]
#[tokio::test]
async fn a_lost_answer_is_settled_once_the_platform_can_be_read_again() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&LIVE)
        .with_fault(fakes::Fault::LostAfter)
        .with_failing_reads(3);

    let written = take_out(&platform, &fakes::Entries::open(&log)).await;

    expect_that!(written, ok(anything()));
    expect_that!(updates(&log), eq(1));
}

#[googletest::test]
#[tokio::test]
async fn nothing_is_written_unless_a_majority_of_live_entries_acknowledges() {
    let log = fakes::Log::default();
    let listed = [LIVE[0], LIVE[1], ("d", platform::VmState::Leaving)];
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&listed);
    let entries = fakes::Entries::open(&log).with_silent(&["b"]);

    let written = take_out(&platform, &entries).await;

    let refused = matches!(
        &written,
        Err(apply::ApplyError::NoMajority { acknowledged: 1, live: 2, failures }) if failures.len() == 1
    );
    expect_that!(refused, is_true());
    expect_that!(platform.current(), some(eq(&base())));
    expect_that!(updates(&log), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn a_silent_minority_is_named_in_a_warning() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&LIVE);
    let entries = fakes::Entries::open(&log).with_silent(&["c"]);

    let receipt = take_out(&platform, &entries).await;

    let warnings = receipt.map(|receipt| receipt.warnings);
    let not_told = matches!(&warnings.as_deref(), Ok([apply::Warning::CommitFailed(refusal)]) if refusal.address == "c");
    expect_that!(not_told, is_true());
}

#[googletest::test]
#[tokio::test]
async fn the_first_text_is_written_without_entries() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log);
    let entries = fakes::Entries::open(&log);
    let edit = apply::Edit::Text(TEXT.to_owned());

    let written = apply::Writer::new(&platform, &entries, "operator")
        .write(&edit, Some(0))
        .await;

    let warnings = written.map(|receipt| receipt.warnings);
    expect_that!(
        warnings,
        ok(elements_are![eq(&apply::Warning::NoLiveEntry)])
    );
    expect_that!(
        platform.current().map(|record| record.generation),
        some(eq(1))
    );
}

#[googletest::test]
#[tokio::test]
async fn an_unexpected_generation_or_an_unknown_data_centre_is_refused_before_any_intent() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&LIVE);
    let entries = fakes::Entries::open(&log);
    let writer = apply::Writer::new(&platform, &entries, "operator");

    let text = apply::Edit::Text(TEXT.to_owned());
    let conflict = writer.write(&text, Some(7)).await;
    let unknown = apply::Edit::DataCentreIn("ash".to_owned());
    let unknown = writer.write(&unknown, None).await;

    let statuses = [conflict, unknown].map(|written| written.err().map(|err| err.exit_status()));
    expect_that!(statuses[0], some(eq(exit::ExitStatus::Conflict)));
    expect_that!(statuses[1], some(eq(exit::ExitStatus::Invalid)));
    expect_that!(
        fakes::logged(&log)
            .iter()
            .any(|call| call.starts_with("intent")),
        is_false()
    );
}

#[googletest::test]
#[tokio::test]
async fn data_centres_stay_out_when_the_text_is_replaced() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log).with_record(&record(1, &["oak"], "first"));
    let entries = fakes::Entries::open(&log);
    let edit = apply::Edit::Text(format!("# new\n{TEXT}"));

    let written = apply::Writer::new(&platform, &entries, "operator")
        .write(&edit, None)
        .await;

    let out = written.map(|receipt| receipt.record.data_centres_out);
    expect_that!(
        out,
        ok(eq(&collections::BTreeSet::from(["oak".to_owned()])))
    );
}

#[googletest::test]
#[tokio::test]
async fn waiting_names_the_entries_that_have_not_confirmed() {
    let log = fakes::Log::default();
    let platform = fakes::Platform::open(&log)
        .with_record(&base())
        .with_entries(&LIVE);
    let entries = fakes::Entries::open(&log).with_silent(&["c"]);
    let generation = take_out(&platform, &entries)
        .await
        .map(|receipt| receipt.record.generation);

    let limit = time::Duration::from_millis(1);
    let confirmation =
        wait::until_confirmed(&platform, &entries, generation.unwrap_or(0), limit).await;

    let unconfirmed = confirmation
        .as_ref()
        .map(|confirmation| &confirmation.unconfirmed);
    let unconfirmed = unconfirmed.map(|list| {
        list.iter()
            .map(|item| item.address.as_str())
            .collect::<Vec<_>>()
    });
    expect_that!(unconfirmed, ok(eq(&vec!["c"])));
    expect_that!(
        confirmation.map(|confirmation| confirmation.confirmed),
        ok(eq(&2))
    );
}

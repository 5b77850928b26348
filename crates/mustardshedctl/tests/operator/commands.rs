//! Output and exit status of the commands.

use std::time;

use googletest::prelude::*;
use mustardshed::{
    core::{
        boundary::{backend_server, platform},
        process::placement::record as lease,
        version::record,
    },
    wire::placement as wire,
};
use mustardshedctl::{apply, commands, commands::context, entries, exit, failure};

use crate::fakes;

const TEXT: &str = "[[data_centre]]\nname = 'oak'\nregion = 'south'\n";

fn cx(platform: fakes::Platform, entries: fakes::Entries) -> context::Context {
    context::Context {
        platform: Some(Box::new(platform)),
        entries: Some(Box::new(entries)),
        addresses: Vec::new(),
        author: "operator".to_owned(),
        wait_timeout: time::Duration::ZERO,
    }
}

fn fleet(silent: &[&'static str]) -> context::Context {
    let log = fakes::Log::default();
    let live = [
        ("a", platform::VmState::Live),
        ("b", platform::VmState::Live),
        ("c", platform::VmState::Live),
    ];
    let record = record::Record {
        generation: 1,
        text: TEXT.to_owned(),
        data_centres_out: std::collections::BTreeSet::from(["oak".to_owned()]),
        nonce: "first".to_owned(),
        author: "other".to_owned(),
    };
    let platform = fakes::Platform::open(&log)
        .with_record(&record)
        .with_entries(&live);
    cx(platform, fakes::Entries::open(&log).with_silent(silent))
}

fn query(account: &str) -> entries::ExplainQuery {
    entries::ExplainQuery {
        account: account.to_owned(),
        service: "drafts".to_owned(),
        tokens: 1000,
    }
}

#[googletest::test]
#[tokio::test]
async fn an_accepted_change_that_an_entry_does_not_confirm_ends_with_5() -> Result<()> {
    let edit = apply::Edit::DataCentreIn("oak".to_owned());

    let output = commands::apply::run(&fleet(&["c"]), &edit, None, true)
        .await
        .or_fail()?;

    expect_that!(output.status, eq(exit::ExitStatus::Unconfirmed));
    expect_that!(
        output.text,
        contains_substring("in force at 2 live entries")
    );
    expect_that!(
        output.notes,
        contains(starts_with("not confirmed: c: no answer"))
    );
    expect_that!(
        output.json["unconfirmed"].as_array().map(Vec::len),
        some(eq(1))
    );
    Ok(())
}

#[googletest::test]
#[tokio::test]
async fn history_and_list_show_what_was_written() -> Result<()> {
    let cx = fleet(&[]);
    let edit = apply::Edit::DataCentreIn("oak".to_owned());
    commands::apply::run(&cx, &edit, Some(1), true)
        .await
        .or_fail()?;

    let history = commands::history::run(&cx).await.or_fail()?;
    let list = commands::data_centre::list(&cx).await.or_fail()?;
    let first = commands::get::run(&cx, Some(1)).await.or_fail()?;
    let missing = commands::get::run(&cx, Some(9)).await;

    expect_that!(
        history.text.lines().collect::<Vec<_>>(),
        elements_are![
            eq(&"generation 1 by other"),
            eq(&"  + data_centre oak: region = \"south\""),
            eq(&"  ~ data_centre oak: in -> out"),
            eq(&"generation 2 by operator"),
            eq(&"  ~ data_centre oak: out -> in"),
        ]
    );
    expect_that!(list.text, contains_regex("oak +south +in"));
    expect_that!(first.text, eq(TEXT));
    expect_that!(missing, err(eq(&failure::Failure::UnknownGeneration(9))));
    Ok(())
}

#[googletest::test]
#[tokio::test]
async fn status_shows_entries_that_do_not_answer_and_fails_if_none_does() -> Result<()> {
    let some = commands::status::run(&fleet(&["b"])).await.or_fail()?;
    let none = commands::status::run(&fleet(&["a", "b", "c"]))
        .await
        .or_fail()?;

    expect_that!(some.status, eq(exit::ExitStatus::Done));
    expect_that!(some.text, contains_regex("b +- +- +- +- +no answer"));
    expect_that!(some.notes, elements_are![starts_with("b: no answer")]);
    expect_that!(none.status, eq(exit::ExitStatus::Failed));
    Ok(())
}

#[googletest::test]
#[tokio::test]
async fn status_shows_the_placement_lease_and_its_loads() -> Result<()> {
    let cx = fleet(&[]);
    let lease = lease::Record {
        holder: "entry-1.7".to_owned(),
        fence: 3,
        nonce: 1,
        loads: vec![lease::WeightLoad {
            server: "runner-2".to_owned(),
            order: backend_server::Order::LoadModel {
                model: "hymnal".to_owned(),
                version: "2".to_owned(),
            },
        }],
    };
    let kind = platform::ObjectKind::Lease;
    let value = wire::encode(&lease).or_fail()?;
    let platform = cx.platform().or_fail()?;
    let put = platform.put(platform::Purpose::Lease, kind, wire::LEASE_NAME, 0, value);
    put.await.or_fail()?;

    let status = commands::status::run(&cx).await.or_fail()?;

    let held = "placement: last held by entry-1.7, fencing number 3";
    expect_that!(status.text, contains_substring(held));
    let load = "runner-2: load model hymnal at 2";
    expect_that!(status.text, contains_substring(load));
    Ok(())
}

#[googletest::test]
#[tokio::test]
async fn queries_go_to_the_next_entry_without_a_response_but_not_on_a_refusal() -> Result<()> {
    let cx = fleet(&["a"]);

    let known = commands::request::run(&cx, "entry-1.2.3").await.or_fail()?;
    let explained = commands::explain::run(&cx, &query("office"))
        .await
        .or_fail()?;
    let unknown = commands::request::run(&cx, fakes::UNKNOWN_REQUEST).await;

    expect_that!(known.text, eq("id entry-1.2.3\noutcome completed"));
    expect_that!(
        explained.text,
        starts_with("would go to servers [\"runner-1\"], tokens_each 1000")
    );
    expect_that!(explained.text, contains_regex("runner-2 +- +cold"));
    expect_that!(
        unknown,
        err(matches_pattern!(failure::Failure::Refused {
            address: eq("b"),
            ..
        }))
    );
    Ok(())
}

#[googletest::test]
#[tokio::test]
async fn names_that_would_change_the_path_are_refused() {
    let cx = fleet(&[]);

    let request = commands::request::run(&cx, "../status").await;
    let explain = commands::explain::run(&cx, &query("a&tokens=1")).await;

    expect_that!(request, err(matches_pattern!(failure::Failure::Usage(_))));
    expect_that!(explain, err(matches_pattern!(failure::Failure::Usage(_))));
}

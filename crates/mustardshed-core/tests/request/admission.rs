//! Admission control: requests are refused at once, with a retry delay where a retry may succeed.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_config::text;
use mustardshed_core::{
    error::{self, ErrorKind},
    outcome::Outcome,
    process::snapshot,
    request::{admission, route::estimate},
};

use crate::fixtures;

const NOW: time::Duration = time::Duration::from_secs(1);

#[gtest]
fn stale_configuration_places_nothing() -> Result<()> {
    let mut snapshot = fixtures::snapshot(1);
    let at = snapshot.may_place_until;

    let before = admission::check_fresh(&snapshot, at - time::Duration::from_nanos(1));
    let after = admission::check_fresh(&snapshot, at);
    snapshot.generation = 0;
    let none = admission::check_fresh(&snapshot, NOW);

    verify_that!(before.is_ok(), eq(true))?;
    verify_that!(kind(after), some(eq(ErrorKind::ConfigurationStale)))?;
    verify_that!(kind(none), some(eq(ErrorKind::ConfigurationStale)))
}

#[gtest]
fn late_request_is_told_when_to_retry() -> Result<()> {
    let estimate = estimate::Estimate {
        queue: time::Duration::from_secs(8),
        prefill: time::Duration::from_secs(1),
        ..estimate::Estimate::default()
    };

    let in_time = admission::check_deadline(&estimate, NOW, NOW + time::Duration::from_secs(9));
    let late = admission::check_deadline(&estimate, NOW, NOW + time::Duration::from_secs(4));

    verify_that!(in_time.is_ok(), eq(true))?;
    let err = late.err();
    verify_that!(err.as_ref().map(|e| e.outcome), some(eq(Outcome::NotRun)))?;
    verify_that!(
        err.and_then(|e| e.retry_after),
        some(eq(time::Duration::from_secs(5)))
    )
}

#[gtest]
fn request_that_is_never_in_time_is_not_told_to_retry() -> Result<()> {
    let estimate = estimate::Estimate {
        prefill: time::Duration::from_secs(5),
        ..estimate::Estimate::default()
    };

    let late = admission::check_deadline(&estimate, NOW, NOW + time::Duration::from_secs(4));

    verify_that!(late.err().map(|e| e.retry_after), some(none()))
}

#[gtest]
fn account_limit_is_shared_by_the_live_entries() -> Result<()> {
    let mut snapshot = fixtures::snapshot(0);
    snapshot.members = members(&[true, true, true, false]);
    let account = account(8);

    let share = admission::account_share(&snapshot, &account);
    let below = admission::check_account(&snapshot, &account, 2);
    let above = admission::check_account(&snapshot, &account, 3);

    verify_that!(share, eq(3))?;
    verify_that!(below.is_ok(), eq(true))?;
    verify_that!(kind(above), some(eq(ErrorKind::AccountLimit)))
}

#[gtest]
fn transitive_dependency_without_capacity_refuses_at_the_top() -> Result<()> {
    let mut snapshot = fixtures::snapshot(1);
    let text = fixtures::text();
    let top = &text.services["s"];
    let missing = admission::check_dependencies(&snapshot, top, NOW);

    let mut below = fixtures::server("u1", "a");
    below.kind = "u".to_owned();
    snapshot.servers.insert("u1".to_owned(), below.clone());
    let served = admission::check_dependencies(&snapshot, top, NOW);
    below.running = 4;
    snapshot.servers.insert("u1".to_owned(), below);
    let full = admission::check_dependencies(&snapshot, top, NOW);

    verify_that!(kind(missing), some(eq(ErrorKind::DependencyOverloaded)))?;
    verify_that!(served.is_ok(), eq(true))?;
    verify_that!(kind(full), some(eq(ErrorKind::DependencyOverloaded)))
}

#[gtest]
fn account_may_use_only_its_services() -> Result<()> {
    let mut account = account(1);
    let any = admission::check_permission(&account, "s");
    account.services = vec!["t".to_owned()];

    let other = admission::check_permission(&account, "s");

    verify_that!(any.is_ok(), eq(true))?;
    verify_that!(kind(other), some(eq(ErrorKind::Forbidden)))
}

fn kind(checked: std::result::Result<(), error::Error>) -> Option<ErrorKind> {
    checked.err().map(|err| err.kind)
}

fn account(max_running: u32) -> text::ClientAccount {
    text::ClientAccount {
        name: "c".to_owned(),
        key_digests: Vec::new(),
        weight: 1,
        max_running,
        services: Vec::new(),
    }
}

fn members(live: &[bool]) -> collections::BTreeMap<String, snapshot::MemberView> {
    let member = |(index, live): (usize, &bool)| {
        let vm = format!("e{index}");
        let view = snapshot::MemberView {
            vm: vm.clone(),
            incarnation: 1,
            address: String::new(),
            data_centre: "a".to_owned(),
            leaving: false,
            live: *live,
            generation: 1,
            busy: 0,
        };
        (vm, view)
    };
    live.iter().enumerate().map(member).collect()
}

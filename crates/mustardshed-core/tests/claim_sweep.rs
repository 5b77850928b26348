//! Sweeps of claims: assignment to entries, lists that are too long, outages.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{
    boundary::platform,
    request::claim::{self, sweep},
};

const NOW: time::Duration = time::Duration::from_secs(1_000_000);
const HOUR: time::Duration = time::Duration::from_secs(60 * 60);

fn claimed(name: &str, version: u64, age: time::Duration) -> (String, u64, claim::Value) {
    let value = claim::Value {
        request: "e1.1.1".to_owned(),
        body_digest: [1; 32],
        created_at: NOW.saturating_sub(age),
        fate: None,
    };
    (name.to_owned(), version, value)
}

fn unanswered() -> platform::PlatformError {
    platform::PlatformError::Unanswered("late".to_owned())
}

fn accounts(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("account-{i}")).collect()
}

#[gtest]
fn only_expired_claims_are_deleted_at_the_listed_version() -> Result<()> {
    let (mut sweep, first) = sweep::Sweep::begin(&accounts(1));
    let claims = vec![
        claimed("account-0.a", 4, claim::RETENTION + 2 * HOUR),
        claimed("account-0.b", 5, claim::RETENTION),
        claimed("account-0.c", 6, HOUR),
    ];

    let second = sweep.on_list(Ok(claims), NOW);
    let last = sweep.on_delete(Ok(()));

    let prefix = "account-0.".to_owned();
    verify_that!(first, eq(&sweep::Step::List { prefix }))?;
    let delete = sweep::Step::Delete {
        name: "account-0.a".to_owned(),
        expected: 4,
    };
    verify_that!(second, eq(&delete))?;
    let stats = sweep::SweepStats {
        listed: 3,
        deleted: 1,
        ..sweep::SweepStats::default()
    };
    verify_that!(last, eq(&sweep::Step::Done(stats)))
}

#[gtest]
fn claim_that_changed_since_the_list_does_not_count_as_deleted() -> Result<()> {
    let (mut sweep, _) = sweep::Sweep::begin(&accounts(1));
    let old = claimed("account-0.a", 4, claim::RETENTION + 2 * HOUR);

    sweep.on_list(Ok(vec![old]), NOW);
    let last = sweep.on_delete(Err(platform::PlatformError::Conflict(9)));

    let stats = sweep::SweepStats {
        listed: 1,
        ..sweep::SweepStats::default()
    };
    verify_that!(last, eq(&sweep::Step::Done(stats)))
}

#[gtest]
fn list_that_fails_is_split() -> Result<()> {
    let (mut sweep, mut step) = sweep::Sweep::begin(&accounts(1));
    let mut answered = collections::BTreeSet::new();

    while let sweep::Step::List { prefix } = step {
        step = if prefix == "account-0." {
            sweep.on_list(Err(unanswered()), NOW)
        } else {
            answered.insert(prefix);
            sweep.on_list(Ok(Vec::new()), NOW)
        };
    }

    verify_that!(answered.len(), eq(16))?;
    let stats = sweep::SweepStats {
        failed: 1,
        ..sweep::SweepStats::default()
    };
    verify_that!(step, eq(&sweep::Step::Done(stats)))
}

#[gtest]
fn outage_aborts_a_sweep_after_a_few_calls() -> Result<()> {
    let (mut sweep, mut step) = sweep::Sweep::begin(&accounts(100));
    let mut calls = 0;

    while matches!(step, sweep::Step::List { .. }) {
        calls += 1;
        step = sweep.on_list(Err(unanswered()), NOW);
    }

    verify_that!(calls, eq(3))?;
    let stats = sweep::SweepStats {
        failed: 3,
        is_aborted: true,
        ..sweep::SweepStats::default()
    };
    verify_that!(step, eq(&sweep::Step::Done(stats)))
}

#[gtest]
fn every_account_is_assigned_to_exactly_one_entry() -> Result<()> {
    let vms: Vec<String> = (0..8).map(|i| format!("entry-{i}")).collect();
    let live: collections::BTreeSet<&String> = vms.iter().collect();
    let accounts = accounts(3_700);

    let shares: Vec<_> = vms
        .iter()
        .map(|own| sweep::assigned_accounts(own, &live, &accounts))
        .collect();

    let mut assigned: Vec<&String> = shares.iter().flatten().copied().collect();
    assigned.sort_unstable();
    let mut expected: Vec<&String> = accounts.iter().collect();
    expected.sort_unstable();
    verify_that!(assigned, eq(&expected))?;
    verify_that!(shares.iter().all(|share| share.len() < 1_000), eq(true))
}

#[gtest]
fn calls_of_the_whole_fleet_are_bounded() -> Result<()> {
    for live in [1, 8, 400] {
        let calls_a_second = live as f64 / sweep::pause(live).as_secs_f64();

        verify_that!(calls_a_second, near(20.0, 0.001))?;
    }
    Ok(())
}

//! The retry budget.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::retry_budget;

use crate::fixtures;

const ENTRIES: usize = 8;

fn budget() -> retry_budget::RetryBudget {
    retry_budget::RetryBudget::new(retry_budget::Limits {
        ratio: 0.2,
        allowance: 104.0,
        window: time::Duration::from_secs(10),
    })
}

fn take_all(budget: &mut retry_budget::RetryBudget, now: time::Duration) -> usize {
    (0..1_000)
        .filter(|_| budget.try_take("drafts", ENTRIES, now))
        .count()
}

#[gtest]
fn all_entries_together_stay_within_the_fleet_s_budget() -> Result<()> {
    let mut budgets: Vec<retry_budget::RetryBudget> = (0..ENTRIES).map(|_| budget()).collect();
    for budget in &mut budgets {
        for _ in 0..50 {
            budget.record_request("drafts", fixtures::START);
        }
    }

    let taken: usize = budgets
        .iter_mut()
        .map(|b| take_all(b, fixtures::START))
        .sum();

    expect_that!(taken, gt(ENTRIES));
    verify_that!(taken, le(104 + 50 * ENTRIES / 5))
}

#[gtest]
fn budget_recovers_when_its_window_has_passed() -> Result<()> {
    let mut budget = budget();
    let first = take_all(&mut budget, fixtures::START);

    let soon = take_all(&mut budget, fixtures::START + time::Duration::from_secs(9));
    let later = take_all(&mut budget, fixtures::START + time::Duration::from_secs(11));

    expect_that!(first, gt(0));
    expect_that!(soon, eq(0));
    verify_that!(later, eq(first))
}

#[gtest]
fn services_have_budgets_of_their_own() -> Result<()> {
    let mut budget = budget();
    take_all(&mut budget, fixtures::START);

    verify_that!(
        budget.try_take("ledger", ENTRIES, fixtures::START),
        eq(true)
    )
}

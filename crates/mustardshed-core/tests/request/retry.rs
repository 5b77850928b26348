//! The retry budget: retries during a fault cannot multiply the load.

use googletest::prelude::*;
use mustardshed_core::request::retry;

#[gtest]
fn retries_stay_within_the_percentage_of_first_sends() -> Result<()> {
    let budget = retry::Budget::new();
    let mut retries = 0;

    for _ in 0..1_000 {
        budget.deposit(10);
        while budget.withdraw() {
            retries += 1;
        }
    }

    verify_that!(retries, all!(ge(100), le(103)))
}

#[gtest]
fn budget_is_capped_however_many_first_sends_there_were() -> Result<()> {
    let budget = retry::Budget::new();
    for _ in 0..100_000 {
        budget.deposit(100);
    }

    let retries = (0..1_000).filter(|_| budget.withdraw()).count();

    verify_that!(retries, eq(20))
}

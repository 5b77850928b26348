//! Memory for what others send.

use googletest::prelude::*;
use mustardshed_core::forward::memory_budget;

const VM_BYTES: u64 = 160_000_000;
const SMALL_BYTES: usize = 64 * 1024;
const STEP_BYTES: usize = 64 * 1024;

/// Lets holders grow in turn until none may; returns what each of them has.
fn grow_all(budget: &memory_budget::MemoryBudget, holders: usize) -> Vec<usize> {
    let mut held = vec![0; holders];
    let mut has_grown = true;
    while has_grown {
        has_grown = false;
        for own in &mut held {
            if budget.try_add(*own, STEP_BYTES) {
                *own += STEP_BYTES;
                has_grown = true;
            }
        }
    }
    held
}

// Guards against large buffers that leave no memory to small ones.
#[gtest]
fn small_buffers_find_memory_beside_any_number_of_large_ones() -> Result<()> {
    const SMALL_BUFFERS: usize = 300;
    for holders in [1, 10, 100, 500] {
        let budget = memory_budget::MemoryBudget::new(VM_BYTES);
        grow_all(&budget, holders);

        let granted = (0..SMALL_BUFFERS).filter(|_| budget.try_add(0, SMALL_BYTES));

        expect_that!(
            granted.count(),
            eq(SMALL_BUFFERS),
            "{holders} large buffers"
        );
        expect_that!(budget.held(), le(budget.limit()));
    }
    Ok(())
}

#[gtest]
fn large_buffers_share_what_they_may_have() -> Result<()> {
    let budget = memory_budget::MemoryBudget::new(VM_BYTES);

    let held = grow_all(&budget, 9);

    let (least, most) = (held.iter().min().unwrap(), held.iter().max().unwrap());
    expect_that!(most - least, le(STEP_BYTES));
    verify_that!(*least, gt(5_000_000))
}

#[gtest]
fn returned_memory_is_granted_again() -> Result<()> {
    let budget = memory_budget::MemoryBudget::new(VM_BYTES);
    let held: usize = grow_all(&budget, 3).iter().sum();

    let refused = budget.try_add(0, 20_000_000);
    budget.remove(held);
    let granted = budget.try_add(0, 20_000_000);

    expect_that!((refused, granted), eq((false, true)));
    verify_that!(budget.held(), eq(20_000_000))
}

#[gtest]
fn no_size_overflows() -> Result<()> {
    let budget = memory_budget::MemoryBudget::new(u64::MAX);

    expect_that!(budget.try_add(0, 1), eq(true));
    expect_that!(budget.try_add(usize::MAX, 1), eq(false));
    verify_that!(budget.try_add(1, usize::MAX), eq(false))
}

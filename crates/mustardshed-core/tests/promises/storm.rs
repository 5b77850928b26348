//! Random steps on a fleet, with a check of the promise after each of them.

use std::{env, marker, time};

use proptest::{strategy, test_runner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{fleet, step};

/// Cases of each test unless `MUSTARDSHED_CASES` is set.
const CASES: u32 = 64;
/// Seed unless `MUSTARDSHED_SEED` is set.
const SEED: u64 = 20_261_204;
/// Upper bound, exclusive, of the number of steps of a case.
const MAX_STEPS: usize = 40;

/// A promise that must hold under all random steps.
pub trait Promise: 'static {
    /// Returns the strategy for the steps.
    fn steps() -> strategy::BoxedStrategy<step::Step>;

    /// Makes the initial fleet.
    fn fleet() -> fleet::Fleet {
        fleet::Fleet::new()
    }

    /// Checks the promise after a step.
    fn check(fleet: &fleet::Fleet);

    /// Checks what must hold after the last step.
    fn finish(_fleet: fleet::Fleet) {}
}

/// The reference has no state: steps are independent, and checks read the records of the fakes.
#[derive(Clone, Debug)]
struct Steps<P>(marker::PhantomData<P>);

impl<P: Promise + Clone + std::fmt::Debug> ReferenceStateMachine for Steps<P> {
    type State = ();
    type Transition = step::Step;

    fn init_state() -> strategy::BoxedStrategy<()> {
        strategy::Strategy::boxed(strategy::Just(()))
    }

    fn transitions(_state: &()) -> strategy::BoxedStrategy<step::Step> {
        P::steps()
    }

    fn apply(_state: (), _step: &step::Step) {}
}

#[derive(Debug)]
struct Storm<P>(marker::PhantomData<P>);

impl<P: Promise + Clone + std::fmt::Debug> StateMachineTest for Storm<P> {
    type SystemUnderTest = fleet::Fleet;
    type Reference = Steps<P>;

    fn init_test(_state: &()) -> fleet::Fleet {
        P::fleet()
    }

    fn apply(mut fleet: fleet::Fleet, _state: &(), step: step::Step) -> fleet::Fleet {
        step.apply(&mut fleet);
        fleet.advance(time::Duration::from_millis(20));
        fleet
    }

    fn check_invariants(fleet: &fleet::Fleet, _state: &()) {
        P::check(fleet);
    }

    fn teardown(fleet: fleet::Fleet, _state: ()) {
        P::finish(fleet);
    }
}

/// Runs the random cases of a promise.
pub fn run<P: Promise + Clone + std::fmt::Debug>() {
    let config = test_runner::Config {
        cases: setting("MUSTARDSHED_CASES").unwrap_or(CASES),
        rng_seed: test_runner::RngSeed::Fixed(setting("MUSTARDSHED_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config.clone());
    let steps = Steps::<P>::sequential_strategy(1..MAX_STEPS);
    let result = runner.run(&steps, |(state, steps, seen)| {
        Storm::<P>::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(e) = result {
        let failure = e.to_string();
        assert!(failure.is_empty(), "{failure}");
    }
}

fn setting<T: std::str::FromStr>(name: &str) -> Option<T> {
    env::var(name).ok()?.parse().ok()
}

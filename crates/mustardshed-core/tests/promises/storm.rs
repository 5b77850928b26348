//! A storm over a fleet: random steps, an oracle after each of them.

use std::{env, marker, time};

use proptest::{strategy, test_runner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{fleet, step};

/// Cases of each proof unless `MUSTARDSHED_CASES` says otherwise.
const CASES: u32 = 64;
/// Seed unless `MUSTARDSHED_SEED` says otherwise.
const SEED: u64 = 20_261_204;
/// Steps of one case, at most.
const MAX_STEPS: usize = 40;

/// A promise that must hold in every storm.
pub trait Promise: 'static {
    /// Returns what may happen.
    fn steps() -> strategy::BoxedStrategy<step::Step>;

    /// Makes the fleet at the beginning.
    fn fleet() -> fleet::Fleet {
        fleet::Fleet::new()
    }

    /// Checks the promise after a step.
    fn check(fleet: &fleet::Fleet);

    /// Checks what must hold when all faults are over.
    fn finish(_fleet: fleet::Fleet) {}
}

/// The reference: steps depend on nothing, and the oracle reads the fakes' own records.
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

/// Runs the storms of a promise.
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

//! Placement under random faults, and without faults.
//!
//! `MUSTARDSHED_CASES` and `MUSTARDSHED_SEED` set the number of cases and the seed. With the
//! feature `mutations`, `MUSTARDSHED_MUTATION` enables a bug that the tests must detect.

#![expect(
    clippy::expect_used,
    clippy::panic,
    clippy::unwrap_used,
    reason = "a fixture that fails ends its test"
)]

mod engine;
mod fault_free;
mod fixtures;
mod fleet;
mod handover;
mod lease;
mod platform;
mod step;

use std::{env, time};

use proptest::{
    strategy::{BoxedStrategy, Just, Strategy},
    test_runner,
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Number of cases unless `MUSTARDSHED_CASES` is set.
const CASES: u32 = 96;
/// Seed unless `MUSTARDSHED_SEED` is set.
const SEED: u64 = 20_261_204;
/// Maximum number of steps per case.
const MAX_STEPS: usize = 40;
/// Time after the last fault within which every model must be placed.
const PLACED_WITHIN: time::Duration = time::Duration::from_secs(180);

/// Reference model without state: any step may follow any other, and the fakes check the rules.
#[derive(Clone, Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = step::Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<step::Step> {
        step::step_strategy()
    }

    fn apply(_state: (), _step: &step::Step) {}
}

#[derive(Debug)]
struct FaultTest;

impl StateMachineTest for FaultTest {
    type SystemUnderTest = fleet::Fleet;
    type Reference = Steps;

    fn init_test(_state: &()) -> fleet::Fleet {
        fleet::Fleet::new(fixtures::engines())
    }

    fn apply(mut fleet: fleet::Fleet, _state: &(), step: step::Step) -> fleet::Fleet {
        step.apply(&mut fleet);
        fleet.advance(time::Duration::from_millis(100));
        fleet
    }

    fn check_invariants(fleet: &fleet::Fleet, _state: &()) {
        let violations: &[String] = &[];
        assert_eq!(fleet.violations, violations);
    }

    fn teardown(mut fleet: fleet::Fleet, _state: ()) {
        fleet.clear_faults();
        fleet.advance(PLACED_WITHIN);
        Self::check_invariants(&fleet, &());
        assert_eq!(unplaced(&fleet), Vec::<String>::new());
    }
}

/// Returns the models that no engine holds, and the engines that hold no configured model.
fn unplaced(fleet: &fleet::Fleet) -> Vec<String> {
    let holds = |engine: &engine::Engine, model: &mustardshed_config::text::Model| {
        let is_held = engine.models.get(&model.name) == Some(&model.version);
        engine.kind == model.engine_kind && is_held
    };
    let models = fleet.text.models.values();
    let missing = models
        .filter(|model| !fleet.engines.values().any(|engine| holds(engine, model)))
        .map(|model| model.name.clone());
    let idle = fleet
        .engines
        .iter()
        .filter(|(_, engine)| !fleet.text.models.values().any(|model| holds(engine, model)))
        .map(|(id, _)| id.clone());
    missing.chain(idle).collect()
}

#[test]
fn storm_of_faults_breaks_no_rule_and_every_model_is_placed_after_it() {
    let config = test_runner::Config {
        cases: setting("MUSTARDSHED_CASES").unwrap_or(CASES),
        rng_seed: test_runner::RngSeed::Fixed(setting("MUSTARDSHED_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config.clone());
    let steps = Steps::sequential_strategy(1..MAX_STEPS);

    let result = runner.run(&steps, |(state, steps, seen)| {
        FaultTest::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });

    let failure = result.err().map(|e| e.to_string()).unwrap_or_default();
    assert!(failure.is_empty(), "{failure}");
}

fn setting<T: std::str::FromStr>(name: &str) -> Option<T> {
    env::var(name).ok()?.parse().ok()
}

//! Random steps of the fault test.

use std::time;

use proptest::{
    prelude::{Just, Strategy, any, prop_oneof},
    strategy::BoxedStrategy,
};

use super::{fleet, platform};

/// One step: time passes, or a fault begins or ends.
#[derive(Clone, Debug)]
pub enum Step {
    Wait(u64),
    Kill(usize),
    Start(usize),
    KillHolder,
    FreezeHolder(u64),
    FreezeAtOrder(u8, u64),
    CutHolder(u8, u64),
    Outage(bool),
    Past(bool),
    LoseWrite(platform::Loss),
    LoseOrder,
    Slow(bool),
    KillEngine(usize),
    ReviveEngines,
    LeaveEngine(usize, bool),
    Out(bool),
    Version(u8),
}

impl Step {
    pub fn apply(&self, fleet: &mut fleet::Fleet) {
        match *self {
            Self::Wait(ms) => fleet.advance(time::Duration::from_millis(ms)),
            Self::Kill(index) => fleet.kill(index),
            Self::Start(index) => fleet.start(index),
            Self::KillHolder => {
                if let Some(index) = fleet.holder() {
                    fleet.kill(index);
                }
            }
            Self::FreezeHolder(ms) => {
                let holder = fleet.holder().unwrap_or(0);
                fleet.pause(holder, time::Duration::from_millis(ms));
            }
            Self::FreezeAtOrder(version, ms) => {
                Self::Version(version).apply(fleet);
                fleet.advance_to(fleet::is_order);
                Self::FreezeHolder(ms).apply(fleet);
            }
            Self::CutHolder(version, ms) => {
                Self::Version(version).apply(fleet);
                fleet.advance_to(fleet::is_order);
                fleet.platform.cut = fleet.holder();
                for engine in fleet.engines.values_mut() {
                    engine.set_alive(false);
                    engine.set_alive(true);
                }
                fleet.advance(time::Duration::from_millis(ms));
                fleet.platform.cut = None;
            }
            Self::Outage(is_out) => fleet.platform.is_out = is_out,
            Self::Past(shows_past) => fleet.platform.serves_stale_reads = shows_past,
            Self::LoseWrite(loss) => fleet.platform.loss = Some(loss),
            Self::LoseOrder => fleet.is_order_lost = true,
            Self::Slow(is_slow) => {
                for engine in fleet.engines.values_mut() {
                    engine.is_slow = is_slow;
                }
            }
            Self::KillEngine(index) => {
                if let Some(engine) = fleet.engines.values_mut().nth(index) {
                    engine.set_alive(false);
                }
            }
            Self::ReviveEngines => {
                for engine in fleet.engines.values_mut() {
                    engine.set_alive(true);
                }
            }
            Self::LeaveEngine(index, is_leaving) => {
                if let Some(engine) = fleet.engines.values_mut().nth(index) {
                    engine.is_leaving = is_leaving;
                }
            }
            Self::Out(is_out) => {
                fleet.out_changed_at = fleet.now;
                fleet.data_centres_out.clear();
                if is_out {
                    fleet.data_centres_out.insert("b".to_owned());
                }
            }
            Self::Version(version) => {
                for model in fleet.text.models.values_mut() {
                    model.version = version.to_string();
                }
            }
        }
    }
}

/// Returns the strategy for one step.
pub fn step_strategy() -> BoxedStrategy<Step> {
    let loss = prop_oneof![
        Just(platform::Loss::After),
        Just(platform::Loss::Before),
        Just(platform::Loss::Late),
    ];
    prop_oneof![
        6 => (50_u64..12_000).prop_map(Step::Wait),
        1 => (0..fleet::ENTRIES).prop_map(Step::Kill),
        2 => (0..fleet::ENTRIES).prop_map(Step::Start),
        2 => Just(Step::KillHolder),
        3 => (500_u64..14_000).prop_map(Step::FreezeHolder),
        2 => (1_u8..6, 1000_u64..14_000).prop_map(|(v, ms)| Step::FreezeAtOrder(v, ms)),
        2 => (1_u8..6, 5000_u64..60_000).prop_map(|(v, ms)| Step::CutHolder(v, ms)),
        2 => any::<bool>().prop_map(Step::Outage),
        1 => any::<bool>().prop_map(Step::Past),
        4 => loss.prop_map(Step::LoseWrite),
        1 => Just(Step::LoseOrder),
        2 => any::<bool>().prop_map(Step::Slow),
        3 => (0_usize..10).prop_map(Step::KillEngine),
        3 => Just(Step::ReviveEngines),
        1 => (0_usize..10, any::<bool>()).prop_map(|(i, on)| Step::LeaveEngine(i, on)),
        2 => any::<bool>().prop_map(Step::Out),
        4 => (1_u8..6).prop_map(Step::Version),
    ]
    .boxed()
}

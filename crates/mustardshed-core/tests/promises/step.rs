//! Steps of a random test run, and how often they are chosen.

use std::time;

use proptest::{
    prelude::{Just, Strategy, any, prop_oneof},
    strategy::{BoxedStrategy, Union},
};

use super::{
    engine,
    fleet::{self, DATA_CENTRES, ENTRIES, SERVERS},
    network,
};

/// One step of a random test run.
#[derive(Clone, Debug)]
pub enum Step {
    Wait(u64),
    Submit(Load),
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
    Replace(usize),
    ThawReplaced(usize),
    Leave(usize),
    Cut(usize, usize, bool),
    Isolate(usize),
    Partition(usize),
    CutPlatform(usize),
    CutServer(usize, usize),
    Mend,
    Outage(bool),
    LoseAnswer,
    Stale(u64),
    TurnCold(usize, bool),
    Revive(usize),
    BreakStreams(usize),
    LeaveServer(usize, bool),
    Operate(Vec<fleet::Change>),
    Slow(usize, u64),
    Steward(usize, Fault),
    CutOperator(usize),
    /// Entry, tokens, duration of the work and timeout, both in milliseconds.
    SubmitGang(usize, u64, u64, u64),
    AskForEntries(usize),
    AskFate(usize, usize),
    CallListed(Load),
    Script(Vec<Step>),
}

/// A fault of the steward of a server.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill,
    Freeze,
    Isolate,
    Partition,
    Leave,
}

/// Equal requests on one server, from successive entries in turn.
#[derive(Clone, Debug)]
pub struct Load {
    pub first_entry: usize,
    pub count: usize,
    pub server: usize,
    pub tokens: u64,
    pub duration_ms: u64,
    pub is_reservation: bool,
}

impl Step {
    /// Applies the step to the fleet.
    pub fn apply(self, fleet: &mut fleet::Fleet) {
        let entry = fleet::entry;
        let server = fleet::server;
        match self {
            Self::Wait(ms) => fleet.advance(time::Duration::from_millis(ms)),
            Self::Submit(load) => load.submit(fleet),
            Self::Kill(index) => fleet.kill(&entry(index)),
            Self::Start(index) => fleet.start(&entry(index)),
            Self::Freeze(index) => fleet.freeze(&entry(index)),
            Self::Thaw(index) => fleet.thaw(&entry(index)),
            Self::Replace(index) => fleet.replace(&entry(index)),
            Self::ThawReplaced(index) => fleet.thaw_replaced(&entry(index)),
            Self::Leave(index) => fleet.leave(&entry(index)),
            Self::Cut(a, b, is_both_ways) => {
                fleet.network.cut(&entry(a), &entry(b));
                if is_both_ways {
                    fleet.network.cut(&entry(b), &entry(a));
                }
            }
            Self::Isolate(index) => isolate(fleet, &entry(index)),
            Self::Partition(index) => partition(fleet, &entry(index)),
            Self::CutPlatform(index) => fleet.network.cut(&entry(index), "platform"),
            Self::CutServer(index, other) => fleet.network.cut(&entry(index), &server(other)),
            Self::Mend => fleet.network.restore_all(),
            Self::Outage(is_out) => fleet.platform.is_out = is_out,
            Self::LoseAnswer => fleet.platform.loses_answer = true,
            Self::Stale(ms) => fleet.platform.staleness = time::Duration::from_millis(ms),
            Self::TurnCold(index, is_dead) => fleet.turn_cold(&server(index), is_dead),
            Self::Revive(index) => {
                if let Some(engine) = fleet.engines.get_mut(&server(index)) {
                    engine.is_dead = false;
                }
            }
            Self::BreakStreams(index) => fleet.break_streams(&server(index)),
            Self::LeaveServer(index, is_leaving) => {
                fleet.leave_server(&server(index), is_leaving);
            }
            Self::Operate(changes) => fleet.operate(&changes),
            Self::Slow(index, ms) => {
                fleet
                    .network
                    .slow(&entry(index), time::Duration::from_millis(ms));
            }
            Self::Steward(index, fault) => {
                if let Some(steward) = fleet.steward(&server(index)) {
                    fault.apply(&steward, fleet);
                }
            }
            Self::CutOperator(index) => fleet.network.cut(network::OPERATOR, &entry(index)),
            Self::SubmitGang(index, tokens, duration_ms, timeout_ms) => {
                let prompt = fleet::Prompt {
                    tokens,
                    duration: time::Duration::from_millis(duration_ms),
                    timeout: time::Duration::from_millis(timeout_ms),
                };
                fleet.submit_gang(&entry(index), &prompt);
            }
            Self::AskForEntries(index) => fleet.ask_for_entries(&entry(index)),
            Self::AskFate(index, back) => fleet.ask_fate(&entry(index), back),
            Self::CallListed(load) => load.call_listed(fleet),
            Self::Script(steps) => {
                for step in steps {
                    step.apply(fleet);
                }
            }
        }
    }
}

impl Load {
    fn submit(&self, fleet: &mut fleet::Fleet) {
        for index in 0..self.count {
            let entry = fleet::entry((self.first_entry + index) % ENTRIES);
            let server = fleet::server(self.server);
            fleet.submit(&entry, &server, self.work(), self.duration());
        }
    }

    fn call_listed(&self, fleet: &mut fleet::Fleet) {
        fleet.call_listed(&fleet::server(self.server), &self.work(), self.duration());
    }

    const fn work(&self) -> engine::Work {
        engine::Work {
            tokens: self.tokens,
            is_reservation: self.is_reservation,
        }
    }

    const fn duration(&self) -> time::Duration {
        time::Duration::from_millis(self.duration_ms)
    }
}

/// Cuts an entry off from the platform, operators and all other entries.
fn isolate(fleet: &mut fleet::Fleet, own: &str) {
    fleet.network.cut(own, "platform");
    fleet.network.cut(network::OPERATOR, own);
    partition(fleet, own);
}

/// Cuts an entry off from all other entries.
fn partition(fleet: &mut fleet::Fleet, own: &str) {
    for other in (0..ENTRIES).map(fleet::entry).filter(|other| other != own) {
        fleet.network.cut(own, &other);
        fleet.network.cut(&other, own);
    }
}

impl Fault {
    fn apply(self, vm: &str, fleet: &mut fleet::Fleet) {
        match self {
            Self::Kill => fleet.kill(vm),
            Self::Freeze => fleet.freeze(vm),
            Self::Isolate => isolate(fleet, vm),
            Self::Partition => partition(fleet, vm),
            Self::Leave => fleet.leave(vm),
        }
    }
}

/// Waits, from a moment to longer than any timeout of the nodes.
pub fn wait() -> BoxedStrategy<Step> {
    prop_oneof![
        4 => (10_u64..1500).prop_map(Step::Wait),
        1 => (1500_u64..9000).prop_map(Step::Wait),
    ]
    .boxed()
}

/// Requests, mostly small and short ones.
pub fn submit() -> BoxedStrategy<Step> {
    let small = (1_u64..50, 50_u64..3000, Just(false));
    let large = (200_u64..=1000, 1000_u64..40_000, any::<bool>());
    (
        0..ENTRIES,
        1..12_usize,
        0..SERVERS,
        prop_oneof![3 => small.boxed(), 1 => large.boxed()],
    )
        .prop_map(
            |(first_entry, count, server, (tokens, duration_ms, is_reservation))| {
                Step::Submit(Load {
                    first_entry,
                    count,
                    server,
                    tokens,
                    duration_ms,
                    is_reservation,
                })
            },
        )
        .boxed()
}

/// Prompts that exceed one engine's memory.
pub fn submit_gang() -> BoxedStrategy<Step> {
    (0..ENTRIES, 1001_u64..=2000, 500_u64..10_000)
        .prop_map(|(entry, tokens, ms)| Step::SubmitGang(entry, tokens, ms, 40_000))
        .boxed()
}

/// Faults of entries and their links.
pub fn entry_fault() -> BoxedStrategy<Step> {
    let entry = || 0..ENTRIES;
    Union::new([
        entry().prop_map(Step::Kill).boxed(),
        entry().prop_map(Step::Start).boxed(),
        entry().prop_map(Step::Freeze).boxed(),
        entry().prop_map(Step::Thaw).boxed(),
        entry().prop_map(Step::Leave).boxed(),
        (entry(), entry(), any::<bool>())
            .prop_map(|(a, b, both)| Step::Cut(a, b, both))
            .boxed(),
        entry().prop_map(Step::Isolate).boxed(),
        (entry(), 0..SERVERS)
            .prop_map(|(a, b)| Step::CutServer(a, b))
            .boxed(),
        Just(Step::Mend).boxed(),
    ])
    .boxed()
}

/// Faults of the platform.
pub fn platform_fault() -> BoxedStrategy<Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Outage),
        Just(Step::LoseAnswer),
        (0_u64..2000).prop_map(Step::Stale),
        (0..ENTRIES).prop_map(Step::CutPlatform),
    ]
    .boxed()
}

/// Faults of backend servers.
pub fn server_fault() -> BoxedStrategy<Step> {
    prop_oneof![
        (0..SERVERS, any::<bool>()).prop_map(|(server, dead)| Step::TurnCold(server, dead)),
        (0..SERVERS).prop_map(Step::Revive),
        (0..SERVERS).prop_map(Step::BreakStreams),
    ]
    .boxed()
}

/// Backend servers that begin to leave or stay after all.
pub fn leave_server() -> BoxedStrategy<Step> {
    (0..SERVERS, any::<bool>())
        .prop_map(|(server, is_leaving)| Step::LeaveServer(server, is_leaving))
        .boxed()
}

/// A change by one operator, or concurrent changes by two.
pub fn operate() -> BoxedStrategy<Step> {
    let change = (
        0..DATA_CENTRES.len(),
        any::<bool>(),
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(
            |(data_centre, is_out, then_outage, sends_commit)| fleet::Change {
                data_centre: DATA_CENTRES[data_centre].into(),
                is_out,
                then_outage,
                sends_commit,
            },
        );
    proptest::collection::vec(change, 1..=2)
        .prop_map(Step::Operate)
        .boxed()
}

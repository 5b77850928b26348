//! A fleet of real nodes, on a virtual clock, with simple fakes of engines, network and platform.

use std::{collections, time};

use mustardshed_core::{
    boundary::{backend_server, platform as border},
    ids,
    process::{action, drain, event, node},
    version::record,
};

use super::{engine, network, platform};

mod callers;
mod fates;
mod faults;
mod gangs;
mod operators;
mod runs;
mod traffic;

pub use gangs::{GangEnd, Prompt};
pub use operators::Change;
use traffic::{FellOver, Job, Sent};

pub const MEMORY_TOKENS: u64 = 1000;
pub const MAX_RUNNING: u32 = 8;
pub const COLD_LIMIT: u32 = 2;
pub const WARM_AFTER: u32 = 3;
pub const ENTRIES: usize = 4;
pub const SERVERS: usize = 4;
/// Number of servers that are warm from the start; the others are cold.
const WARM_SERVERS: usize = 2;
pub const DATA_CENTRES: [&str; 2] = ["a", "b"];

const TEXT: &str = r#"
[[data_centre]]
name = "a"
region = "r"

[[data_centre]]
name = "b"
region = "r"

[[engine_kind]]
name = "k"
memory_tokens = 1000
max_running = 8
cold_limit = 2
warm_after = 3
prefill_tokens_per_second = 100000
fencing = "checked"

[[model]]
name = "m"
engine_kind = "k"
version = "1"
context_tokens = 8000
"#;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(600);
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);
const CALL_TIME: time::Duration = time::Duration::from_millis(2);
/// Timeouts of requests, used in turn.
const TIMEOUTS: [time::Duration; 2] = [time::Duration::from_secs(2), time::Duration::from_secs(10)];
/// Upper bound of the duration of an idle entry's planned stop.
pub const DRAIN: time::Duration = time::Duration::from_secs(15);

/// A scheduled task of a process.
#[derive(Clone, Debug)]
enum Task {
    Handle(event::Event),
    Tick,
    PollConfiguration,
    PollVms,
    Send(ids::RequestId),
    ContinueGang(ids::RequestId),
    EndGang(ids::RequestId),
    Leave,
    WatchStop,
}

/// VM and incarnation of a process.
type Run = (ids::VmId, ids::Incarnation);

/// One entry process.
#[derive(Debug)]
pub struct Process {
    pub node: node::Node,
    pub incarnation: ids::Incarnation,
    pub is_frozen: bool,
    started_at: ids::Timestamp,
    thawed_at: Option<ids::Timestamp>,
    drain: Option<drain::Drain>,
    links: collections::BTreeSet<ids::VmId>,
    backlog: Vec<Task>,
    jobs: collections::BTreeMap<ids::RequestId, Job>,
    gangs: collections::BTreeMap<ids::RequestId, gangs::Gang>,
    tickets: collections::BTreeMap<u64, ids::RequestId>,
    sequence: u64,
}

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    pub now: ids::Timestamp,
    pub processes: collections::BTreeMap<ids::VmId, Process>,
    replaced: collections::BTreeMap<Run, Process>,
    pub engines: collections::BTreeMap<ids::BackendServerId, engine::Engine>,
    pub network: network::Network,
    pub platform: platform::Platform,
    pub sent: Vec<Sent>,
    pub fell_over: Vec<FellOver>,
    pub granted: Vec<Sent>,
    pub reverted: Vec<String>,
    pub callers: callers::Callers,
    pub fates: fates::Fates,
    /// How gangs ended, each with its wait for all engines.
    pub gang_ends: Vec<(ids::RequestId, GangEnd, time::Duration)>,
    tasks: collections::BTreeMap<(ids::Timestamp, u64), (Run, Task)>,
    ends: collections::BTreeMap<(ids::Timestamp, u64), (ids::BackendServerId, ids::RequestId)>,
    cold_signs: collections::BTreeMap<ids::BackendServerId, (ids::Epoch, ids::Timestamp)>,
    acknowledged: collections::BTreeMap<u64, collections::BTreeSet<ids::VmId>>,
    generations: collections::BTreeMap<Run, ids::Generation>,
    counter: u64,
}

pub fn entry(index: usize) -> ids::VmId {
    format!("e{index}")
}

pub fn server(index: usize) -> ids::BackendServerId {
    format!("s{index}")
}

fn first_record() -> record::Record {
    record::Record {
        generation: 1,
        text: TEXT.into(),
        data_centres_out: collections::BTreeSet::new(),
        nonce: "n".into(),
        author: "op".into(),
    }
}

fn listed(id: &str, role: border::VmRole, data_centre: &str) -> border::Vm {
    border::Vm {
        id: id.into(),
        role,
        address: format!("{id}:1"),
        peer_address: format!("{id}:2"),
        data_centre: data_centre.into(),
        state: border::VmState::Live,
    }
}

impl Fleet {
    /// Makes a fleet that has run for 6 s and has a configuration in force.
    pub fn new() -> Self {
        Self::of(ENTRIES)
    }

    /// Makes such a fleet of `entries` entries.
    pub fn of(entries: usize) -> Self {
        Self::sized(entries, SERVERS, WARM_SERVERS)
    }

    /// Makes such a fleet of `entries` entries and `servers` servers, of which the first `warm` are
    /// warm.
    pub fn sized(entries: usize, servers: usize, warm: usize) -> Self {
        let mut fleet = Self {
            now: time::Duration::from_secs(100),
            processes: collections::BTreeMap::new(),
            replaced: collections::BTreeMap::new(),
            engines: collections::BTreeMap::new(),
            network: network::Network::default(),
            platform: platform::Platform::default(),
            sent: Vec::new(),
            fell_over: Vec::new(),
            granted: Vec::new(),
            reverted: Vec::new(),
            callers: callers::Callers::default(),
            fates: fates::Fates::default(),
            gang_ends: Vec::new(),
            tasks: collections::BTreeMap::new(),
            ends: collections::BTreeMap::new(),
            cold_signs: collections::BTreeMap::new(),
            acknowledged: collections::BTreeMap::new(),
            generations: collections::BTreeMap::new(),
            counter: 0,
        };
        let mut vms = Vec::new();
        for index in 0..entries {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            vms.push(listed(&entry(index), border::VmRole::Entry, data_centre));
        }
        for index in 0..servers {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let role = border::VmRole::BackendServer { kind: "k".into() };
            let vm = listed(&server(index), role, data_centre);
            let engine = engine::Engine::new(vm.address.clone(), data_centre.into(), index >= warm);
            fleet.engines.insert(server(index), engine);
            vms.push(vm);
        }
        fleet.platform.set_list(vms, time::Duration::ZERO);
        fleet
            .platform
            .write(0, first_record(), time::Duration::ZERO);
        for index in 0..entries {
            fleet.start(&entry(index));
        }
        fleet.advance(time::Duration::from_secs(6));
        fleet
    }

    /// Advances the time by `by` and runs all tasks that are due until then.
    pub fn advance(&mut self, by: time::Duration) {
        self.note_disruption();
        let until = self.now + by;
        loop {
            let next_task = self.tasks.keys().next().copied();
            let next_end = self.ends.keys().next().copied();
            let Some(next) = next_task.into_iter().chain(next_end).min() else {
                break;
            };
            if next.0 > until {
                break;
            }
            self.now = next.0;
            if next_end == Some(next) {
                if let Some((server, request)) = self.ends.remove(&next) {
                    self.finish_work(&server, &request);
                }
            } else if let Some((run, task)) = self.tasks.remove(&next) {
                self.run_task(&run, task);
            }
        }
        self.now = until;
    }

    fn schedule(&mut self, at: ids::Timestamp, run: Run, task: Task) {
        self.counter += 1;
        self.tasks.insert((at, self.counter), (run, task));
    }

    fn run_task(&mut self, run: &Run, task: Task) {
        let Some(process) = self.process_mut(run) else {
            return;
        };
        if process.is_frozen {
            process.backlog.push(task);
            return;
        }
        match task {
            Task::Handle(event) => self.handle(run, event),
            Task::Tick => {
                self.handle(run, event::Event::Tick);
                self.schedule(self.now + node::TICK, run.clone(), Task::Tick);
            }
            Task::PollConfiguration => self.poll_configuration(run),
            Task::PollVms => self.poll_vms(run),
            Task::Send(request) => self.send_work(run, &request),
            Task::ContinueGang(request) => self.continue_gang(run, &request),
            Task::EndGang(request) => self.end_gang(run, &request, GangEnd::Completed),
            Task::Leave => self.begin_stop(run),
            Task::WatchStop => self.watch_stop(run),
        }
    }

    fn poll_configuration(&mut self, run: &Run) {
        let begun_at = self.now;
        let result = if self.network.is_cut(&run.0, "platform") {
            Err(border::PlatformError::Unanswered("cut".into()))
        } else {
            self.platform.read(begun_at)
        };
        let event = event::Event::ConfigurationRead { begun_at, result };
        self.schedule(begun_at + CALL_TIME, run.clone(), Task::Handle(event));
        self.schedule(
            begun_at + POLL_INTERVAL,
            run.clone(),
            Task::PollConfiguration,
        );
    }

    fn poll_vms(&mut self, run: &Run) {
        let result = if self.network.is_cut(&run.0, "platform") {
            Err(border::PlatformError::Unanswered("cut".into()))
        } else {
            self.platform.vms(self.now)
        };
        let event = event::Event::VmsRead { result };
        self.schedule(self.now + CALL_TIME, run.clone(), Task::Handle(event));
        self.schedule(self.now + LIST_INTERVAL, run.clone(), Task::PollVms);
    }

    fn handle(&mut self, run: &Run, event: event::Event) {
        let now = self.now;
        self.note_cold_sign(&event);
        let Some(process) = self.process_mut(run) else {
            return;
        };
        let actions = process.node.handle(event, now);
        let generation = process.node.snapshot(now).generation;
        let earlier = self.generations.insert(run.clone(), generation);
        if earlier.is_some_and(|earlier| earlier > generation) {
            self.reverted
                .push(format!("{run:?} from {earlier:?} to {generation}"));
        }
        for action in actions {
            self.carry_out(run, action);
        }
    }

    fn carry_out(&mut self, run: &Run, action: action::Action) {
        match action {
            action::Action::Send { vm, message } => self.deliver(run, &vm, message),
            action::Action::Connect { vm, .. } => {
                if let Some(process) = self.process_mut(run) {
                    process.links.insert(vm);
                }
            }
            action::Action::Disconnect { vm } => {
                if let Some(process) = self.process_mut(run) {
                    process.links.remove(&vm);
                }
            }
            action::Action::ReadLoad { server, .. } => self.read_load(run, server),
            action::Action::Cancel { address, request }
            | action::Action::ReleaseReservation { address, request } => {
                self.note_cancel(&request);
                self.cancel(&address, &request);
            }
            action::Action::AnswerAcquire { ticket, result } => {
                self.acquired(run, ticket, result);
            }
            action::Action::Acknowledge { ticket, result } => {
                if result.is_ok() {
                    let acknowledged = self.acknowledged.entry(ticket).or_default();
                    acknowledged.insert(run.0.clone());
                }
            }
            action::Action::Log(action::LogEvent::CreditDecided {
                request,
                server,
                granted: true,
                ..
            }) => self.granted.extend(self.placement(&request, &server)),
            action::Action::AnswerFate { ticket, result } => self.on_fate_answer(ticket, &result),
            action::Action::Log(_) => {}
        }
    }

    fn deliver(
        &mut self,
        run: &Run,
        vm: &str,
        message: mustardshed_core::process::message::Message,
    ) {
        let is_linked = self
            .process(run)
            .is_some_and(|process| process.links.contains(vm));
        let Some(receiver) = self.processes.get(vm).filter(|_| is_linked) else {
            return;
        };
        let to = (vm.to_owned(), receiver.incarnation);
        let event = event::Event::Peer {
            vm: run.0.clone(),
            incarnation: run.1,
            message,
        };
        if let Some(at) = self.network.arrival(&run.0, vm, self.now) {
            self.schedule(at, to, Task::Handle(event));
        }
    }

    fn read_load(&mut self, run: &Run, server: ids::BackendServerId) {
        let begun_at = self.now;
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        let result = if self.network.is_cut(&run.0, &server) {
            Err(broken())
        } else {
            engine.load(begun_at)
        };
        let event = event::Event::LoadRead {
            server,
            begun_at,
            result,
        };
        self.schedule(begun_at + CALL_TIME, run.clone(), Task::Handle(event));
    }

    /// Returns the steward of a server as the first running entry sees it.
    pub fn steward(&self, server: &str) -> Option<ids::VmId> {
        let process = self.processes.values().find(|process| !process.is_frozen)?;
        let snapshot = process.node.snapshot(self.now);
        snapshot.servers.get(server)?.steward.clone()
    }
}

fn broken() -> backend_server::BackendServerError {
    backend_server::BackendServerError::Broken("broken".into())
}

//! A fleet of real nodes with small fakes around them, on a virtual clock.

use std::{collections, time};

use mustardshed_core::{
    border::{backend_server, control, platform as border},
    ids,
    process::{action, event, node},
    request::owner,
    version::record,
};

use super::{engine, network, platform};

pub const MEMORY_TOKENS: u64 = 1000;
pub const MAX_RUNNING: u32 = 8;
pub const COLD_LIMIT: u32 = 2;
pub const WARM_AFTER: u32 = 3;
pub const ENTRIES: usize = 4;
pub const SERVERS: usize = 4;
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
"#;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(600);
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);
const CALL_TIME: time::Duration = time::Duration::from_millis(2);
const PATIENCE: time::Duration = time::Duration::from_secs(2);
const DRAIN: time::Duration = time::Duration::from_secs(12);

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum Item {
    Handle(event::Event),
    Tick,
    PollConfiguration,
    PollVms,
    Send(ids::RequestId),
    Exit,
}

/// A run of a process.
type Run = (ids::VmId, ids::Incarnation);

/// One request as its traffic thread knows it.
#[derive(Clone, Debug)]
struct Job {
    server: ids::BackendServerId,
    work: engine::Work,
    lasts: time::Duration,
    think: time::Duration,
    credit: Option<control::Credit>,
}

/// One entry process.
#[derive(Debug)]
pub struct Process {
    pub node: node::Node,
    pub incarnation: ids::Incarnation,
    pub is_frozen: bool,
    links: collections::BTreeSet<ids::VmId>,
    backlog: Vec<Item>,
    jobs: collections::BTreeMap<ids::RequestId, Job>,
    tickets: collections::BTreeMap<u64, ids::RequestId>,
    sequence: u64,
}

/// Work that was sent to an engine.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: ids::Timestamp,
    pub what: String,
    pub data_centre: ids::DataCentreId,
    pub leaving_for: Option<time::Duration>,
}

/// An engine that fell over under too much work in its cold start.
#[derive(Clone, Debug)]
pub struct FellOver {
    pub what: String,
    pub cold_for: Option<time::Duration>,
}

/// An operator's change on its way.
#[derive(Clone, Debug)]
pub struct Change {
    pub data_centre: ids::DataCentreId,
    pub is_out: bool,
    pub then_outage: bool,
    pub tells: bool,
}

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    pub now: ids::Timestamp,
    pub processes: collections::BTreeMap<ids::VmId, Process>,
    pub engines: collections::BTreeMap<ids::BackendServerId, engine::Engine>,
    pub network: network::Network,
    pub platform: platform::Platform,
    pub sent: Vec<Sent>,
    pub fell_over: Vec<FellOver>,
    pub granted: u64,
    pub reverted: Vec<String>,
    items: collections::BTreeMap<(ids::Timestamp, u64), (Run, Item)>,
    ends: collections::BTreeMap<(ids::Timestamp, u64), (ids::BackendServerId, ids::RequestId)>,
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

fn record(generation: u64, out: collections::BTreeSet<String>) -> record::Record {
    record::Record {
        generation,
        text: TEXT.into(),
        data_centres_out: out,
        nonce: format!("n{generation}"),
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
    /// Makes a fleet with a configuration in force, running for a few seconds.
    pub fn new() -> Self {
        let mut fleet = Self {
            now: time::Duration::from_secs(100),
            processes: collections::BTreeMap::new(),
            engines: collections::BTreeMap::new(),
            network: network::Network::default(),
            platform: platform::Platform::default(),
            sent: Vec::new(),
            fell_over: Vec::new(),
            granted: 0,
            reverted: Vec::new(),
            items: collections::BTreeMap::new(),
            ends: collections::BTreeMap::new(),
            acknowledged: collections::BTreeMap::new(),
            generations: collections::BTreeMap::new(),
            counter: 0,
        };
        let mut vms = Vec::new();
        for index in 0..ENTRIES {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            vms.push(listed(&entry(index), border::VmRole::Entry, data_centre));
        }
        for index in 0..SERVERS {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let role = border::VmRole::BackendServer { kind: "k".into() };
            let vm = listed(&server(index), role, data_centre);
            let engine = engine::Engine::new(vm.address.clone(), data_centre.into());
            fleet.engines.insert(server(index), engine);
            vms.push(vm);
        }
        fleet.platform.set_list(vms, time::Duration::ZERO);
        let first = record(1, collections::BTreeSet::new());
        fleet.platform.write(0, first, time::Duration::ZERO);
        for index in 0..ENTRIES {
            fleet.start(&entry(index));
        }
        fleet.advance(time::Duration::from_secs(6));
        fleet
    }

    /// Lets time go on.
    pub fn advance(&mut self, by: time::Duration) {
        let until = self.now + by;
        loop {
            let next_item = self.items.keys().next().copied();
            let next_end = self.ends.keys().next().copied();
            let Some(next) = next_item.into_iter().chain(next_end).min() else {
                break;
            };
            if next.0 > until {
                break;
            }
            self.now = next.0;
            if next_end == Some(next) {
                if let Some((server, request)) = self.ends.remove(&next) {
                    self.end_work(&server, &request, None);
                }
            } else if let Some((run, item)) = self.items.remove(&next) {
                self.happen(&run, item);
            }
        }
        self.now = until;
    }

    /// Starts a process, as a later run if there was one.
    pub fn start(&mut self, vm: &str) {
        if self.processes.contains_key(vm) {
            return;
        }
        self.counter += 1;
        let incarnation = self.counter;
        let listed = self.platform.listed();
        let Some(listed) = listed.iter().find(|listed| listed.id == vm) else {
            return;
        };
        let identity = node::Identity {
            vm: vm.into(),
            incarnation,
            data_centre: listed.data_centre.clone(),
            address: format!("{vm}:1"),
            peer_address: format!("{vm}:2"),
        };
        let process = Process {
            node: node::Node::new(identity, self.counter * 131, self.now),
            incarnation,
            is_frozen: false,
            links: collections::BTreeSet::new(),
            backlog: Vec::new(),
            jobs: collections::BTreeMap::new(),
            tickets: collections::BTreeMap::new(),
            sequence: 0,
        };
        self.processes.insert(vm.into(), process);
        let run = (vm.to_owned(), incarnation);
        for item in [Item::Tick, Item::PollConfiguration, Item::PollVms] {
            self.at(self.now, run.clone(), item);
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, vm: &str) {
        self.processes.remove(vm);
    }

    /// Stops a process without its knowledge.
    pub fn freeze(&mut self, vm: &str) {
        if let Some(process) = self.processes.get_mut(vm) {
            process.is_frozen = true;
        }
    }

    /// Lets a stopped process go on with all that waited for it.
    pub fn thaw(&mut self, vm: &str) {
        let Some(process) = self.processes.get_mut(vm) else {
            return;
        };
        process.is_frozen = false;
        let run = (vm.to_owned(), process.incarnation);
        for item in std::mem::take(&mut process.backlog) {
            self.at(self.now, run.clone(), item);
        }
    }

    /// Lets an entry leave; it exits later.
    pub fn leave(&mut self, vm: &str) {
        let Some(process) = self.processes.get(vm) else {
            return;
        };
        let run = (vm.to_owned(), process.incarnation);
        self.at(self.now, run.clone(), Item::Handle(event::Event::Leave));
        self.at(self.now + DRAIN, run, Item::Exit);
    }

    /// Begins a request.
    pub fn submit(&mut self, vm: &str, server: &str, work: engine::Work, lasts: time::Duration) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(vm) else {
            return;
        };
        process.sequence += 1;
        let request = format!("{vm}.{}.{}", process.incarnation, process.sequence);
        let ticket = process.sequence;
        let req = control::CreditRequest {
            request: request.clone(),
            account: format!("c{}", ticket % 3),
            server: server.into(),
            tokens: work.tokens,
            prefill_tokens: work.tokens,
            priority: (ticket % 4) as u32,
            wait_until: now + PATIENCE,
            gang: work.is_reservation,
        };
        let job = Job {
            server: server.into(),
            work,
            lasts,
            think: time::Duration::from_millis(1 + (ticket * 37) % 400),
            credit: None,
        };
        process.jobs.insert(request.clone(), job);
        process.tickets.insert(ticket, request);
        let run = (vm.to_owned(), process.incarnation);
        let event = event::Event::Acquire { ticket, req };
        self.at(now, run, Item::Handle(event));
    }

    /// Breaks all streams of an engine: entries give up, and their cancellations are lost.
    pub fn break_streams(&mut self, server: &str) {
        let Some(engine) = self.engines.get(server) else {
            return;
        };
        let held: Vec<_> = engine.held.keys().cloned().collect();
        self.ends.retain(|_, (other, _)| other != server);
        for request in held {
            self.tell_owner(server, &request, Some(broken()));
        }
    }

    /// Lets an engine lose its work and turn cold without notice.
    pub fn turn_cold(&mut self, server: &str, is_dead: bool) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.is_dead = is_dead;
        let lost = engine.restart(now);
        self.ends.retain(|_, (other, _)| other != server);
        for request in lost {
            self.tell_owner(server, &request, Some(broken()));
        }
    }

    /// Lets a backend server say that it leaves, in its reports and on the list.
    pub fn leave_server(&mut self, server: &str, is_leaving: bool) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.leaving_since = is_leaving.then(|| engine.leaving_since.unwrap_or(self.now));
        }
        let mut vms = self.platform.listed();
        for vm in vms.iter_mut().filter(|vm| vm.id == server) {
            vm.state = if is_leaving {
                border::VmState::Leaving
            } else {
                border::VmState::Live
            };
        }
        self.platform.set_list(vms, self.now);
    }

    /// Lets an operator change what is out of service: intents, the write, commits.
    pub fn operate(&mut self, changes: &[Change]) {
        let Some((version, present)) = self.platform.accepted(self.now) else {
            return;
        };
        let mut plans = Vec::new();
        for change in changes {
            let mut next = record(present.generation + 1, present.data_centres_out.clone());
            self.counter += 1;
            next.nonce = format!("n{}", self.counter);
            if change.is_out {
                next.data_centres_out.insert(change.data_centre.clone());
            } else {
                next.data_centres_out.remove(&change.data_centre);
            }
            plans.push((self.counter, change, next));
        }
        for (ticket, _, next) in &plans {
            self.tell_all(
                |ticket, record| event::Event::Intent { ticket, record },
                *ticket,
                next,
            );
        }
        self.advance(time::Duration::from_millis(50));
        for (ticket, change, next) in plans {
            let acknowledged = self.acknowledged.remove(&ticket).unwrap_or_default();
            if 2 * acknowledged.len() <= ENTRIES {
                continue;
            }
            if !self.platform.write(version, next.clone(), self.now) {
                continue;
            }
            let is_lost = std::mem::take(&mut self.platform.loses_answer);
            self.platform.is_out |= change.then_outage;
            if change.tells && !(is_lost && self.platform.is_out) {
                self.tell_all(
                    |ticket, record| event::Event::Commit { ticket, record },
                    ticket,
                    &next,
                );
            }
        }
    }

    fn tell_all(
        &mut self,
        event: impl Fn(u64, record::Record) -> event::Event,
        ticket: u64,
        record: &record::Record,
    ) {
        let runs: Vec<Run> = self.runs();
        for run in runs {
            if let Some(at) = self.network.arrival(network::OPERATOR, &run.0, self.now) {
                self.at(at, run, Item::Handle(event(ticket, record.clone())));
            }
        }
    }

    /// Returns the runs that are going on.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self.processes.iter();
        runs.map(|(vm, process)| (vm.clone(), process.incarnation))
            .collect()
    }

    fn at(&mut self, at: ids::Timestamp, run: Run, item: Item) {
        self.counter += 1;
        self.items.insert((at, self.counter), (run, item));
    }

    fn happen(&mut self, run: &Run, item: Item) {
        let Some(process) = self.processes.get_mut(&run.0) else {
            return;
        };
        if process.incarnation != run.1 {
            return;
        }
        if process.is_frozen {
            process.backlog.push(item);
            return;
        }
        match item {
            Item::Handle(event) => self.handle(run, event),
            Item::Tick => {
                self.handle(run, event::Event::Tick);
                self.at(self.now + node::TICK, run.clone(), Item::Tick);
            }
            Item::PollConfiguration => self.poll_configuration(run),
            Item::PollVms => self.poll_vms(run),
            Item::Send(request) => self.send_work(run, &request),
            Item::Exit => self.kill(&run.0),
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
        self.at(begun_at + CALL_TIME, run.clone(), Item::Handle(event));
        self.at(
            begun_at + POLL_INTERVAL,
            run.clone(),
            Item::PollConfiguration,
        );
    }

    fn poll_vms(&mut self, run: &Run) {
        let result = if self.network.is_cut(&run.0, "platform") {
            Err(border::PlatformError::Unanswered("cut".into()))
        } else {
            self.platform.vms(self.now)
        };
        let event = event::Event::VmsRead { result };
        self.at(self.now + CALL_TIME, run.clone(), Item::Handle(event));
        self.at(self.now + LIST_INTERVAL, run.clone(), Item::PollVms);
    }

    fn handle(&mut self, run: &Run, event: event::Event) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&run.0) else {
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
                if let Some(process) = self.processes.get_mut(&run.0) {
                    process.links.insert(vm);
                }
            }
            action::Action::Disconnect { vm } => {
                if let Some(process) = self.processes.get_mut(&run.0) {
                    process.links.remove(&vm);
                }
            }
            action::Action::ReadLoad { server, .. } => self.read_load(run, server),
            action::Action::Cancel { address, request }
            | action::Action::ReleaseReservation { address, request } => {
                self.cancel(&address, &request);
            }
            action::Action::Acquired { ticket, result } => {
                self.acquired(run, ticket, result.ok());
            }
            action::Action::Acknowledge { ticket, result } => {
                if result.is_ok() {
                    let acknowledged = self.acknowledged.entry(ticket).or_default();
                    acknowledged.insert(run.0.clone());
                }
            }
            action::Action::FateIs { .. } | action::Action::Log(_) => {}
        }
    }

    fn deliver(
        &mut self,
        run: &Run,
        vm: &str,
        message: mustardshed_core::process::message::Message,
    ) {
        let is_linked = self
            .processes
            .get(&run.0)
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
            self.at(at, to, Item::Handle(event));
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
        self.at(begun_at + CALL_TIME, run.clone(), Item::Handle(event));
    }

    fn cancel(&mut self, address: &str, request: &str) {
        let server = self
            .engines
            .iter()
            .find(|(_, engine)| engine.address == address);
        let Some(server) = server.map(|(server, _)| server.clone()) else {
            return;
        };
        self.end_work(&server, request, Some(broken()));
    }

    fn acquired(&mut self, run: &Run, ticket: u64, credit: Option<control::Credit>) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&run.0) else {
            return;
        };
        let Some(request) = process.tickets.remove(&ticket) else {
            return;
        };
        let Some(credit) = credit else {
            process.jobs.remove(&request);
            return;
        };
        let Some(job) = process.jobs.get_mut(&request) else {
            return;
        };
        let at = now + job.think;
        job.credit = Some(credit);
        self.granted += 1;
        self.at(at, run.clone(), Item::Send(request));
    }

    /// Sends work to its engine, after the checks that traffic threads make at the send.
    fn send_work(&mut self, run: &Run, request: &str) {
        let now = self.now;
        let Some(process) = self.processes.get(&run.0) else {
            return;
        };
        let Some(job) = process.jobs.get(request).cloned() else {
            return;
        };
        let snapshot = process.node.snapshot(now);
        let is_good = job.credit.as_ref().is_some_and(|credit| {
            snapshot.servers.get(&job.server).is_some_and(|view| {
                now < snapshot.may_place_until
                    && now < credit.use_by
                    && !snapshot.data_centres_out.contains(&view.data_centre)
                    && !view.leaving
                    && view.epoch == credit.epoch
            })
        });
        if !is_good || self.network.is_cut(&run.0, &job.server) {
            self.tell_owner(&job.server, request, None);
            return;
        }
        let Some(engine) = self.engines.get_mut(&job.server) else {
            return;
        };
        self.sent.push(Sent {
            at: now,
            what: format!("{request} by {run:?} to {} at {now:?}", job.server),
            data_centre: engine.data_centre.clone(),
            leaving_for: engine.leaving_since.map(|at| now - at),
        });
        let cold_for = engine.turned_cold_at.map(|at| now - at);
        if engine.is_dead {
            self.tell_owner(&job.server, request, Some(broken()));
            return;
        }
        let held: Vec<_> = engine.held.keys().cloned().collect();
        match engine.arrive(request, job.work, now) {
            engine::Arrival::Taken => {
                self.counter += 1;
                let end = (now + job.lasts, self.counter);
                self.ends.insert(end, (job.server, request.to_owned()));
            }
            engine::Arrival::Refused => self.tell_owner(&job.server, request, Some(broken())),
            engine::Arrival::FellOver => {
                self.fell_over.push(FellOver {
                    what: format!("{} at {now:?} under {held:?} and {request}", job.server),
                    cold_for,
                });
                self.ends.retain(|_, (server, _)| *server != job.server);
                for lost in held.iter().map(String::as_str).chain([request]) {
                    self.tell_owner(&job.server, lost, Some(broken()));
                }
            }
        }
    }

    fn end_work(
        &mut self,
        server: &str,
        request: &str,
        failure: Option<backend_server::BackendServerError>,
    ) {
        let is_held = self
            .engines
            .get_mut(server)
            .is_some_and(|engine| engine.end(request));
        if is_held {
            self.tell_owner(server, request, failure);
        }
    }

    /// Lets the traffic thread of a request, if its process still runs, give its credit back.
    fn tell_owner(
        &mut self,
        server: &str,
        request: &str,
        failure: Option<backend_server::BackendServerError>,
    ) {
        let epoch = self.engines.get(server).map(|engine| engine.epoch);
        let Some(owner) = owner::of(request) else {
            return;
        };
        let process = self.processes.get_mut(&owner.vm);
        let process = process.filter(|process| process.incarnation == owner.incarnation);
        let Some(process) = process else {
            return;
        };
        let job = process.jobs.remove(request);
        let Some(credit) = job.and_then(|job| job.credit) else {
            return;
        };
        let feedback = control::Feedback {
            request: request.into(),
            server: server.into(),
            prefill_tokens: 0,
            first_token: None,
            epoch: epoch.filter(|_| failure.is_none()),
            failure,
        };
        let event = event::Event::Release { credit, feedback };
        self.at(self.now, (owner.vm, owner.incarnation), Item::Handle(event));
    }

    /// Returns whether a request is being worked on for a process that runs.
    pub fn is_needed(&self, request: &str) -> bool {
        owner::of(request).is_some_and(|owner| {
            self.processes.get(&owner.vm).is_some_and(|process| {
                process.incarnation == owner.incarnation && process.jobs.contains_key(request)
            })
        })
    }

    /// Ends all faults and starts all processes.
    pub fn heal(&mut self) {
        self.network.mend_all();
        self.platform.is_out = false;
        self.platform.staleness = time::Duration::ZERO;
        for engine in self.engines.values_mut() {
            engine.is_dead = false;
        }
        for index in 0..SERVERS {
            self.leave_server(&server(index), false);
        }
        for index in 0..ENTRIES {
            self.thaw(&entry(index));
            self.start(&entry(index));
        }
    }
}

fn broken() -> backend_server::BackendServerError {
    backend_server::BackendServerError::Broken("broken".into())
}

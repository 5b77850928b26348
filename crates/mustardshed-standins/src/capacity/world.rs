//! Entries that exchange messages on virtual time.

use std::{cmp, collections, time};

use mustardshed::{
    core::{
        boundary::control,
        ids,
        process::{action, event, message, node},
    },
    wire::peer,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Size, breakdown, configuration, cost, entry_name, report, server_name};

/// One-way delay between entries.
const LINK_DELAY: time::Duration = time::Duration::from_millis(1);
/// Delay of a load report.
const LOAD_DELAY: time::Duration = time::Duration::from_millis(2);
/// Time for which a request holds its credit.
const WORK_TIME: time::Duration = time::Duration::from_secs(2);
/// Interval between reads of the configuration.
const CONFIGURATION_INTERVAL: time::Duration = time::Duration::from_millis(800);
/// Interval between reads of the platform's list.
const VMS_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time before the measurement in which the entries discover each other.
const WARM_UP: time::Duration = time::Duration::from_secs(8);

/// What an entry handles next.
#[derive(Debug)]
enum Next {
    Event(Box<event::Event>),
    Frame { from: usize, buf: Vec<u8> },
    Tick,
    ReadConfiguration,
    ReadVms,
    Request,
}

struct Due {
    at: ids::Timestamp,
    order: u64,
    entry: usize,
    next: Next,
}

impl Eq for Due {}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Entries, with the messages and events that are due.
struct World {
    size: Size,
    nodes: Vec<node::Node>,
    due: collections::BinaryHeap<Due>,
    now: ids::Timestamp,
    next_order: u64,
    next_request: u64,
    rng: Pcg64Mcg,
    indices: collections::HashMap<ids::VmId, usize>,
    messages: u64,
    bytes: u64,
    granted: u64,
    busy: time::Duration,
    breakdown: breakdown::Breakdown,
}

/// Measures the cost of the control plane per entry in a fleet of this size.
pub fn measure(size: Size, seed: u64) -> cost::Cost {
    let resident_before = cost::resident_bytes();
    let mut world = World::new(size, seed);
    world.run_until(WARM_UP);
    let (messages, bytes, granted) = (world.messages, world.bytes, world.granted);
    let busy_before = world.busy;
    let parts_before = world.breakdown.clone();
    world.run_until(WARM_UP + size.duration);
    let busy = world.busy.saturating_sub(busy_before);
    let resident = cost::resident_bytes().saturating_sub(resident_before);
    let entry_seconds = size.entries as f64 * size.duration.as_secs_f64();
    cost::Cost {
        messages_per_second: (world.messages - messages) as f64 / entry_seconds,
        bytes_per_second: (world.bytes - bytes) as f64 / entry_seconds,
        cpu_ms_per_second: busy.as_secs_f64() * 1e3 / entry_seconds,
        memory_bytes: resident as f64 / size.entries as f64,
        credits_per_second: (world.granted - granted) as f64 / entry_seconds,
        parts: world
            .breakdown
            .since(&parts_before)
            .map(|(name, part)| (name, cost::Rate::new(&part, entry_seconds)))
            .collect(),
    }
}

impl World {
    fn new(size: Size, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut node = |i| node::Node::new(size.identity(i), rng.random(), time::Duration::ZERO);
        let mut world = Self {
            size,
            nodes: (0..size.entries).map(&mut node).collect(),
            due: collections::BinaryHeap::new(),
            now: time::Duration::ZERO,
            next_order: 0,
            next_request: 0,
            rng,
            indices: (0..size.entries).map(|i| (entry_name(i), i)).collect(),
            messages: 0,
            bytes: 0,
            granted: 0,
            busy: time::Duration::ZERO,
            breakdown: breakdown::Breakdown::default(),
        };
        for entry in 0..size.entries {
            let offset = node::TICK.mul_f64(world.rng.random());
            for next in [Next::Tick, Next::ReadConfiguration, Next::ReadVms] {
                world.schedule(offset, entry, next);
            }
            world.schedule(WARM_UP / 2 + offset, entry, Next::Request);
        }
        world
    }

    fn schedule(&mut self, delay: time::Duration, entry: usize, next: Next) {
        self.next_order += 1;
        self.due.push(Due {
            at: self.now + delay,
            order: self.next_order,
            entry,
            next,
        });
    }

    fn run_until(&mut self, end: ids::Timestamp) {
        while self.due.peek().is_some_and(|due| due.at <= end) {
            let Some(due) = self.due.pop() else {
                return;
            };
            self.now = due.at;
            self.step(due.entry, due.next);
        }
        self.now = end;
    }

    fn step(&mut self, entry: usize, next: Next) {
        match next {
            Next::Event(event) => self.handle(entry, *event),
            Next::Frame { from, buf } => self.receive(entry, from, &buf),
            Next::Tick => {
                self.handle(entry, event::Event::Tick);
                self.schedule(node::TICK, entry, Next::Tick);
            }
            Next::ReadConfiguration => {
                let event = event::Event::ConfigurationRead {
                    begun_at: self.now,
                    result: Ok(Some((1, configuration(self.size.data_centres)))),
                };
                self.handle(entry, event);
                self.schedule(CONFIGURATION_INTERVAL, entry, Next::ReadConfiguration);
            }
            Next::ReadVms => {
                let result = Ok(self.size.vms());
                self.handle(entry, event::Event::VmsRead { result });
                self.schedule(VMS_INTERVAL, entry, Next::ReadVms);
            }
            Next::Request => self.request(entry),
        }
    }

    fn request(&mut self, entry: usize) {
        if self.size.requests_per_second <= 0.0 {
            return;
        }
        let pause = time::Duration::from_secs_f64(1.0 / self.size.requests_per_second);
        self.schedule(pause, entry, Next::Request);
        self.next_request += 1;
        let server = server_name(self.rng.random_range(0..self.size.servers));
        let identity = self.size.identity(entry);
        let request = format!(
            "{}.{}.{}",
            identity.vm, identity.incarnation, self.next_request
        );
        let req = control::CreditRequest {
            request,
            account: "st-marks".to_owned(),
            server,
            tokens: 4_000,
            prefill_tokens: 3_900,
            priority: 0,
            wait_until: self.now + time::Duration::from_secs(1),
            gang: false,
        };
        let ticket = self.next_request;
        self.handle(entry, event::Event::Acquire { ticket, req });
    }

    fn receive(&mut self, entry: usize, from: usize, buf: &[u8]) {
        let begun_at = cost::thread_cpu_time();
        let decoded = peer::decode(buf);
        self.note_cpu("decode", begun_at);
        let Ok(message) = decoded else {
            return;
        };
        let identity = self.size.identity(from);
        let event = event::Event::Peer {
            vm: identity.vm,
            incarnation: identity.incarnation,
            message,
        };
        self.handle(entry, event);
    }

    fn handle(&mut self, entry: usize, event: event::Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(entry) else {
            return;
        };
        let name = breakdown::event_name(&event);
        let begun_at = cost::thread_cpu_time();
        let actions = node.handle(event, now);
        std::hint::black_box(node.snapshot(now));
        self.note_cpu(name, begun_at);
        for action in actions {
            self.carry_out(entry, action);
        }
    }

    fn carry_out(&mut self, entry: usize, action: action::Action) {
        match action {
            action::Action::Send { vm, message } => self.send(entry, &vm, &message),
            action::Action::ReadLoad { server, .. } => {
                let event = event::Event::LoadRead {
                    server,
                    begun_at: self.now,
                    result: Ok(report(20)),
                };
                self.schedule(LOAD_DELAY, entry, Next::Event(Box::new(event)));
            }
            action::Action::AnswerAcquire {
                result: Ok(credit), ..
            } => self.granted(entry, credit),
            action::Action::Log(action::LogEvent::MemberChanged { state, .. }) => {
                self.breakdown.add(state, 0, time::Duration::ZERO);
            }
            _ => {}
        }
    }

    /// Adds the CPU time used since `begun_at`.
    fn note_cpu(&mut self, name: &'static str, begun_at: time::Duration) {
        let cpu = cost::thread_cpu_time().saturating_sub(begun_at);
        self.busy += cpu;
        self.breakdown.add(name, 0, cpu);
    }

    fn granted(&mut self, entry: usize, credit: control::Credit) {
        self.granted += 1;
        let feedback = control::Feedback {
            request: credit.request.clone(),
            server: credit.server.clone(),
            prefill_tokens: 3_900,
            first_token: Some(time::Duration::from_millis(120)),
            epoch: Some(credit.epoch),
            failure: None,
        };
        let event = event::Event::Release { credit, feedback };
        self.schedule(WORK_TIME, entry, Next::Event(Box::new(event)));
    }

    fn send(&mut self, from: usize, vm: &ids::VmId, message: &message::Message) {
        let begun_at = cost::thread_cpu_time();
        let encoded = peer::encode(message);
        self.note_cpu("encode", begun_at);
        let Ok(buf) = encoded else {
            return;
        };
        let name = breakdown::message_name(message);
        self.breakdown.add(name, buf.len(), time::Duration::ZERO);
        self.breakdown.add_facts(&entry_name(from), message);
        self.messages += 1;
        self.bytes += buf.len() as u64;
        if let Some(to) = self.indices.get(vm).copied() {
            self.schedule(LINK_DELAY, to, Next::Frame { from, buf });
        }
    }
}

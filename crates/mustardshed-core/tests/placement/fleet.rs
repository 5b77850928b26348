//! A fleet in virtual time: the real placement of three entries, with fake engines and platform.

use std::{collections, sync, time};

use mustardshed_config::text;
use mustardshed_core::{
    boundary::{backend_server, platform::PlatformError},
    ids,
    process::{
        placement::{self, action, event, lease, loads},
        snapshot,
    },
};

use super::{engine, fixtures, platform};

/// Number of entries.
pub const ENTRIES: usize = 3;
/// Step of the virtual time.
const STEP: time::Duration = time::Duration::from_millis(50);
/// Time after which no order is sent to a data centre that was taken out of service.
const OUT_PROPAGATION_TIME: time::Duration = time::Duration::from_secs(2);
/// Longest call with an order: slow engine, sent by a process that was paused during the send.
const SLOW_CALL: time::Duration =
    time::Duration::from_millis(800).saturating_add(lease::ORDER_TIMEOUT);

/// An entry.
#[derive(Debug, Default)]
pub struct Entry {
    placement: Option<placement::Placement>,
    incarnation: u64,
    pub is_paused: bool,
    resumed_at: ids::Timestamp,
    lease_written_at: ids::Timestamp,
    inbox: collections::VecDeque<event::Event>,
    outbox: collections::VecDeque<action::Action>,
}

/// A call with an order, in progress.
#[derive(Clone, Debug)]
struct Call {
    entry: usize,
    incarnation: u64,
    ticket: u64,
    engine: String,
    fence: u64,
    order: backend_server::Order,
    ends_at: ids::Timestamp,
}

/// A fleet.
#[derive(Debug)]
pub struct Fleet {
    pub now: ids::Timestamp,
    pub entries: Vec<Entry>,
    pub engines: collections::BTreeMap<String, engine::Engine>,
    pub platform: platform::Platform,
    pub text: text::Text,
    pub data_centres_out: collections::BTreeSet<String>,
    /// Time of the latest change of the data centres that are out of service.
    pub out_changed_at: ids::Timestamp,
    pub is_order_lost: bool,
    /// Violations found by the oracles.
    pub violations: Vec<String>,
    /// Engine and order of each order that was sent.
    pub orders: Vec<(String, backend_server::Order)>,
    calls: Vec<Call>,
}

impl Fleet {
    pub fn new(engines: collections::BTreeMap<String, engine::Engine>) -> Self {
        let mut fleet = Self {
            now: time::Duration::from_secs(1),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            engines,
            platform: platform::Platform::default(),
            text: fixtures::text(),
            data_centres_out: collections::BTreeSet::new(),
            out_changed_at: time::Duration::ZERO,
            is_order_lost: false,
            violations: Vec::new(),
            orders: Vec::new(),
            calls: Vec::new(),
        };
        for index in 0..ENTRIES {
            fleet.start(index);
        }
        fleet
    }

    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if entry.placement.is_none() {
            entry.incarnation += 1;
            let vm = format!("e{index}");
            entry.placement = Some(placement::Placement::new(&vm, entry.incarnation, now));
        }
    }

    /// Kills an entry; calls that it has sent continue.
    pub fn kill(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation;
        self.entries[index] = Entry {
            incarnation,
            ..Entry::default()
        };
    }

    /// Returns the entry that counts itself as the lease holder, the latest if there are several.
    pub fn holder(&self) -> Option<usize> {
        let fence = |index: &usize| self.entries[*index].placement.as_ref()?.fence();
        (0..ENTRIES)
            .filter(|index| fence(index).is_some())
            .max_by_key(fence)
    }

    pub fn clear_faults(&mut self) {
        self.platform.is_out = false;
        self.platform.serves_stale_reads = false;
        self.platform.loss = None;
        self.platform.cut = None;
        self.is_order_lost = false;
        self.data_centres_out.clear();
        for engine in self.engines.values_mut() {
            engine.set_alive(true);
            engine.is_leaving = false;
            engine.is_slow = false;
        }
        for index in 0..ENTRIES {
            self.entries[index].is_paused = false;
            self.start(index);
        }
    }

    pub fn advance(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        self.platform.advance(self.now);
        for engine in self.engines.values_mut() {
            engine.advance(self.now);
        }
        self.end_calls();
        let loads: usize = self.engines.values().map(engine::Engine::loads).sum();
        if loads > loads::MAX_LOADS {
            self.violations.push(format!("{loads} concurrent loads"));
        }
        let is_tick = self
            .now
            .as_millis()
            .is_multiple_of(placement::TICK.as_millis());
        for index in 0..ENTRIES {
            if self.entries[index].is_paused || self.entries[index].placement.is_none() {
                continue;
            }
            while let Some(action) = self.entries[index].outbox.pop_front() {
                self.carry_out(index, action);
            }
            while let Some(event) = self.entries[index].inbox.pop_front() {
                self.handle(index, event);
            }
            if is_tick {
                let snapshot = sync::Arc::new(self.snapshot(index));
                self.handle(index, event::Event::Tick(snapshot));
            }
        }
    }

    fn handle(&mut self, index: usize, event: event::Event) {
        let entry = &mut self.entries[index];
        let Some(placement) = &mut entry.placement else {
            return;
        };
        let actions = placement.handle(event, self.now);
        let must_renew = entry.lease_written_at < entry.resumed_at;
        if must_renew && actions.iter().any(is_order) {
            self.violations.push(format!(
                "e{index} resumed and sent an order before it renewed the lease"
            ));
        }
        entry.outbox.extend(actions);
    }

    /// Pauses an entry's process for a while; the oracle ignores pauses of two seconds or less.
    pub fn pause(&mut self, index: usize, duration: time::Duration) {
        self.entries[index].is_paused = true;
        self.advance(duration);
        self.entries[index].is_paused = false;
        if duration > 2 * time::Duration::from_secs(1) {
            self.entries[index].resumed_at = self.now;
        }
    }

    /// Advances time until an entry has a matching action to carry out, for at most ten seconds.
    pub fn advance_to(&mut self, is_waited_for: fn(&action::Action) -> bool) {
        let end = self.now + time::Duration::from_secs(10);
        let is_about_to = |entry: &Entry| entry.outbox.iter().any(is_waited_for);
        while self.now < end && !self.entries.iter().any(is_about_to) {
            self.advance(STEP);
        }
    }

    fn carry_out(&mut self, index: usize, action: action::Action) {
        let event = match action {
            action::Action::ReadLease => event::Event::LeaseRead {
                result: self.platform.read(index, self.now),
            },
            action::Action::WriteLease { expected, record } => {
                let nonce = record.nonce;
                let result = self.platform.write(index, expected, record, self.now);
                if matches!(result, Ok(_) | Err(PlatformError::Unanswered(_))) {
                    self.entries[index].lease_written_at = self.now;
                }
                event::Event::LeaseWritten { nonce, result }
            }
            action::Action::ReadEngine { ticket, address } => event::Event::EngineRead {
                ticket,
                begun_at: self.now,
                result: self.engines[&address].report(),
            },
            action::Action::Order {
                ticket, send_by, ..
            } if !action::may_send(send_by, self.now) => event::Event::Ordered {
                ticket,
                outcome: event::OrderOutcome::TooLate,
            },
            action::Action::Order {
                ticket,
                address,
                fence,
                order,
                ..
            } => return self.send(index, ticket, address, fence, order),
            action::Action::Log(_) => return,
        };
        self.entries[index].inbox.push_back(event);
    }

    /// Sends an order; checks the lease holder, other calls in progress and the data centre.
    fn send(
        &mut self,
        index: usize,
        ticket: u64,
        engine: String,
        fence: u64,
        order: backend_server::Order,
    ) {
        let entry = &self.entries[index];
        let own = format!("e{index}.{}", entry.incarnation);
        if self.platform.holder() != own {
            let holder = self.platform.holder();
            self.violations
                .push(format!("{own} sent {order}, but {holder} holds the lease"));
        }
        let overlaps = |call: &Call| {
            let is_own = call.entry == index && call.incarnation == entry.incarnation;
            !is_own || call.engine == engine
        };
        if self.calls.iter().any(overlaps) {
            self.violations
                .push(format!("{own} sent {order} before another call ended"));
        }
        let data_centre = self.engines[&engine].data_centre;
        let is_known = self.now >= self.out_changed_at + OUT_PROPAGATION_TIME;
        if is_known && self.data_centres_out.contains(data_centre) {
            self.violations.push(format!(
                "{own} sent {order} to {engine}, whose data centre is out of service"
            ));
        }
        self.orders.push((engine.clone(), order.clone()));
        let duration = if self.engines[&engine].is_slow {
            SLOW_CALL
        } else {
            STEP
        };
        self.calls.push(Call {
            entry: index,
            incarnation: self.entries[index].incarnation,
            ticket,
            engine,
            fence,
            order,
            ends_at: self.now + duration,
        });
    }

    fn end_calls(&mut self) {
        let (ended, calls) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.ends_at <= self.now);
        self.calls = calls;
        let ended: Vec<Call> = ended;
        for call in ended {
            let engine = self.engines.get_mut(&call.engine);
            let result = engine.map(|engine| engine.order(call.fence, &call.order, self.now));
            let outcome = match result {
                Some(Ok(())) if std::mem::take(&mut self.is_order_lost) => {
                    let reason = "lost".to_owned();
                    event::OrderOutcome::Failed(backend_server::BackendServerError::Broken(reason))
                }
                Some(Err(e)) => event::OrderOutcome::Failed(e),
                _ => event::OrderOutcome::Accepted,
            };
            let entry = &mut self.entries[call.entry];
            if entry.placement.is_some() && entry.incarnation == call.incarnation {
                let ticket = call.ticket;
                entry
                    .inbox
                    .push_back(event::Event::Ordered { ticket, outcome });
            }
        }
    }

    fn snapshot(&self, index: usize) -> snapshot::Snapshot {
        let views = self.engines.iter().map(|(id, engine)| {
            let view = engine.view(id, self.now);
            (id.clone(), view)
        });
        snapshot::Snapshot {
            taken_at: self.now,
            vm: format!("e{index}"),
            incarnation: self.entries[index].incarnation,
            data_centre: "a".to_owned(),
            generation: 1,
            text: sync::Arc::new(self.text.clone()),
            data_centres_out: self.data_centres_out.clone(),
            may_place_until: self.now + time::Duration::from_secs(2),
            leaving: false,
            servers: views.collect(),
            members: collections::BTreeMap::new(),
            latencies: collections::BTreeMap::new(),
        }
    }
}

/// Returns whether an action is an order.
pub const fn is_order(action: &action::Action) -> bool {
    matches!(action, action::Action::Order { .. })
}

/// Returns whether an action is a read of an engine.
pub const fn is_read(action: &action::Action) -> bool {
    matches!(action, action::Action::ReadEngine { .. })
}

//! A fleet in virtual time: real placements of three entries, fakes around them.

use std::{collections, sync, time};

use mustardshed_config::text;
use mustardshed_core::{
    border::backend_server,
    ids,
    process::{
        placement::{self, action, event, lease, loads},
        snapshot,
    },
};

use super::{engine, platform, texts};

/// Entries.
pub const ENTRIES: usize = 3;
/// Step of the virtual time.
const STEP: time::Duration = time::Duration::from_millis(50);
/// Longest call of an order, on a slow engine.
const SLOW_CALL: time::Duration = time::Duration::from_millis(2950);

/// An entry.
#[derive(Debug, Default)]
pub struct Entry {
    placement: Option<placement::Placement>,
    incarnation: u64,
    pub is_frozen: bool,
    inbox: collections::VecDeque<event::Event>,
    outbox: collections::VecDeque<action::Action>,
}

/// A call of an order under way.
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
    pub is_order_lost: bool,
    /// What an oracle found wrong.
    pub violations: Vec<String>,
    /// Orders that were sent.
    pub orders: Vec<(String, backend_server::Order)>,
    calls: Vec<Call>,
    greatest_fence: u64,
}

impl Fleet {
    pub fn new(engines: collections::BTreeMap<String, engine::Engine>) -> Self {
        let mut fleet = Self {
            now: time::Duration::from_secs(1),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            engines,
            platform: platform::Platform::default(),
            text: texts::text(),
            data_centres_out: collections::BTreeSet::new(),
            is_order_lost: false,
            violations: Vec::new(),
            orders: Vec::new(),
            calls: Vec::new(),
            greatest_fence: 0,
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

    /// Kills an entry; what it sent goes on.
    pub fn kill(&mut self, index: usize) {
        let incarnation = self.entries[index].incarnation;
        self.entries[index] = Entry {
            incarnation,
            ..Entry::default()
        };
    }

    /// Returns the entry that takes itself for the holder, the latest if there are several.
    pub fn holder(&self) -> Option<usize> {
        let fence = |index: &usize| self.entries[*index].placement.as_ref()?.fence();
        (0..ENTRIES)
            .filter(|index| fence(index).is_some())
            .max_by_key(fence)
    }

    pub fn heal(&mut self) {
        self.platform.is_out = false;
        self.platform.shows_past = false;
        self.platform.loss = None;
        self.is_order_lost = false;
        self.data_centres_out.clear();
        for engine in self.engines.values_mut() {
            engine.set_alive(true);
            engine.is_leaving = false;
            engine.is_slow = false;
        }
        for index in 0..ENTRIES {
            self.entries[index].is_frozen = false;
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
            self.violations.push(format!("{loads} loads at once"));
        }
        let is_tick = self
            .now
            .as_millis()
            .is_multiple_of(placement::TICK.as_millis());
        for index in 0..ENTRIES {
            if self.entries[index].is_frozen || self.entries[index].placement.is_none() {
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
        if let Some(placement) = &mut entry.placement {
            entry.outbox.extend(placement.handle(event, self.now));
        }
    }

    fn carry_out(&mut self, index: usize, action: action::Action) {
        let event = match action {
            action::Action::ReadLease => event::Event::LeaseRead {
                result: self.platform.read(self.now),
            },
            action::Action::WriteLease { expected, record } => event::Event::LeaseWritten {
                nonce: record.nonce,
                result: self.platform.write(expected, record, self.now),
            },
            action::Action::ReadEngine { ticket, address } => event::Event::EngineRead {
                ticket,
                begun_at: self.now,
                result: self.engines[&address].report(),
            },
            action::Action::Order {
                ticket, send_by, ..
            } if !action::is_in_time(send_by, self.now) => event::Event::Ordered {
                ticket,
                end: event::OrderEnd::TooLate,
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

    /// Sends an order; the oracle looks at what else is under way.
    fn send(
        &mut self,
        index: usize,
        ticket: u64,
        engine: String,
        fence: u64,
        order: backend_server::Order,
    ) {
        if self.calls.iter().any(|call| call.engine == engine) {
            self.violations
                .push(format!("orders overlap on {engine}: {order} under {fence}"));
        }
        if fence < self.greatest_fence {
            let newer = self.greatest_fence;
            self.violations
                .push(format!("{order} under {fence} after one under {newer}"));
        }
        self.greatest_fence = self.greatest_fence.max(fence);
        self.orders.push((engine.clone(), order.clone()));
        let lasts = if self.engines[&engine].is_slow {
            SLOW_CALL
        } else {
            STEP
        };
        assert!(lasts < lease::ORDER_TIMEOUT);
        self.calls.push(Call {
            entry: index,
            incarnation: self.entries[index].incarnation,
            ticket,
            engine,
            fence,
            order,
            ends_at: self.now + lasts,
        });
    }

    fn end_calls(&mut self) {
        let (over, calls) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.ends_at <= self.now);
        self.calls = calls;
        let over: Vec<Call> = over;
        for call in over {
            let engine = self.engines.get_mut(&call.engine);
            let result = engine.map(|engine| engine.order(call.fence, &call.order, self.now));
            let end = match result {
                Some(Ok(())) if std::mem::take(&mut self.is_order_lost) => {
                    let reason = "lost".to_owned();
                    event::OrderEnd::Failed(backend_server::BackendServerError::Broken(reason))
                }
                Some(Err(e)) => event::OrderEnd::Failed(e),
                _ => event::OrderEnd::Accepted,
            };
            let entry = &mut self.entries[call.entry];
            if entry.placement.is_some() && entry.incarnation == call.incarnation {
                let ticket = call.ticket;
                entry.inbox.push_back(event::Event::Ordered { ticket, end });
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
            distances: collections::BTreeMap::new(),
        }
    }
}

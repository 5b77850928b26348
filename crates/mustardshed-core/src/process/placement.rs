//! Placement of models, versions and adapters on engines, by one entry at a time.
//!
//! The entry that holds the [`lease`] compares what engines have loaded with what the configuration
//! and the [`demand`] require ([`plan`]). It changes engines within the limits of the weight store
//! ([`loads`]). A change is first recorded in the lease object, then the engine's load report is
//! read under the lease, and only then the order is sent. No request depends on this: without a
//! lease holder, engines keep what they have loaded.
//!
//! ```
//! use std::time;
//!
//! use mustardshed_core::process::placement;
//!
//! let placement = placement::Placement::new("e1", 1, time::Duration::ZERO);
//! assert!(placement.fence().is_none());
//! ```

use std::{collections, sync, time};

use crate::{
    border::backend_server,
    ids,
    process::{action as process, snapshot},
};

pub mod action;
pub mod demand;
pub mod engines;
pub mod event;
pub mod lease;
pub mod loads;
pub mod plan;
pub mod rank;
pub mod record;

/// Longest interval between two [`event::Event::Tick`]s.
pub const TICK: time::Duration = time::Duration::from_millis(500);

/// Number of live entries, first by name, that compete for the lease; each costs platform reads.
const MAX_CANDIDATES: usize = 3;
/// Longest time from the decision on an order to its send; a process that was paused for longer
/// must renew its lease first.
const SEND_WITHIN: time::Duration = time::Duration::from_secs(1);
/// Time for which an engine that refused an order, or did not load in time, gets no new load.
const EJECTION_TIME: time::Duration = time::Duration::from_secs(30);

/// Placement on one entry, whether it holds the lease or not.
#[derive(Debug)]
pub struct Placement {
    own: ids::VmId,
    lease: lease::Lease,
    engines: engines::Engines,
    demand: demand::Demand,
    loads: loads::Loads,
    ejected: collections::BTreeMap<ids::BackendServerId, ids::Timestamp>,
    adapters: plan::AcceptedAdapters,
    snapshot: Option<sync::Arc<snapshot::Snapshot>>,
    fence: Option<ids::FencingNumber>,
}

impl Placement {
    /// Creates the placement of an entry that just started.
    pub fn new(vm: &str, incarnation: ids::Incarnation, now: ids::Timestamp) -> Self {
        Self {
            own: vm.to_owned(),
            lease: lease::Lease::new(format!("{vm}.{incarnation}"), now),
            engines: engines::Engines::default(),
            demand: demand::Demand::default(),
            loads: loads::Loads::default(),
            ejected: collections::BTreeMap::new(),
            adapters: collections::BTreeMap::new(),
            snapshot: None,
            fence: None,
        }
    }

    /// Returns the fencing number if this entry holds the lease.
    pub const fn fence(&self) -> Option<ids::FencingNumber> {
        self.fence
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: event::Event, now: ids::Timestamp) -> Vec<action::Action> {
        let mut out = Vec::new();
        self.lease.tick(now);
        match event {
            event::Event::Tick(snapshot) => self.observe(snapshot, now),
            event::Event::LeaseRead { result } => self.lease.on_read(result, now),
            event::Event::LeaseWritten { nonce, result } => {
                self.lease.on_write(nonce, result, now);
            }
            event::Event::EngineRead {
                ticket,
                begun_at,
                result,
            } => self.on_engine_read(ticket, begun_at, result, now, &mut out),
            event::Event::Ordered {
                ticket,
                outcome: end,
            } => self.on_order_ended(ticket, &end, now, &mut out),
        }
        self.advance(now, &mut out);
        out
    }

    /// Applies a change of the lease, ends and begins loads, and makes the calls that are due.
    fn advance(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        self.apply_lease_change(now, out);
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if self.fence.is_some() {
            self.ejected.retain(|_, until| now < *until);
            self.end_loads(&snapshot, now, out);
            self.begin_loads(&snapshot, now, out);
            self.read_engines(now, out);
        }
        let recorded = self.loads.recorded();
        let is_candidate = self.is_candidate(&snapshot);
        out.extend(self.lease.poll(is_candidate, &recorded, now));
    }

    /// Stores a new snapshot; the lease holder also updates engines and demand from it.
    fn observe(&mut self, snapshot: sync::Arc<snapshot::Snapshot>, now: ids::Timestamp) {
        if self.fence.is_some() {
            self.engines.update(&snapshot, now);
            self.demand.measure(&snapshot.text, &self.engines, now);
        }
        self.snapshot = Some(snapshot);
    }

    /// Adopts the loads of the previous holder if the lease was acquired; clears all if it is lost.
    fn apply_lease_change(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        let fence = self.lease.held().map(|held| held.fence);
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        self.loads.clear();
        self.adapters.clear();
        self.ejected.clear();
        self.demand = demand::Demand::default();
        self.engines = engines::Engines::default();
        let Some(held) = self.lease.held() else {
            out.push(lease_log_entry(0, "lost"));
            return;
        };
        for load in &held.recorded {
            self.loads.begin(load.clone(), Some(now), now);
        }
        out.push(lease_log_entry(held.fence, "taken"));
    }

    /// Returns whether this entry may compete for the lease.
    fn is_candidate(&self, snapshot: &snapshot::Snapshot) -> bool {
        let members = snapshot.members.values();
        let earlier = members
            .filter(|member| member.live && !member.leaving && member.vm < self.own)
            .count();
        !snapshot.leaving && earlier < MAX_CANDIDATES
    }

    /// Ends loads that timed out or whose server is no longer listed, and unordered ones that
    /// the configuration no longer requires.
    fn end_loads(
        &mut self,
        snapshot: &snapshot::Snapshot,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let engines = &self.engines;
        let expired = self.loads.extract_if(|active| {
            let is_listed = snapshot.servers.contains_key(&active.load.server);
            let is_required = engines.get(&active.load.server).is_some()
                && is_required(&snapshot.text, &active.load.order);
            !is_listed || active.is_expired(is_required, now)
        });
        for active in expired {
            self.ejected
                .insert(active.load.server.clone(), now + EJECTION_TIME);
            out.push(self.order_log_entry(&active, "given up"));
        }
    }

    /// Begins the loads that the plan requires, as far as the weight store allows.
    fn begin_loads(
        &mut self,
        snapshot: &snapshot::Snapshot,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        if now < self.lease.may_order_from() || !self.may_send_orders(now) {
            return;
        }
        while self.loads.has_room() {
            let loads = self.loads.recorded();
            let plan = plan::Plan {
                text: &snapshot.text,
                engines: &self.engines,
                demand: &self.demand,
                loads: &loads,
                ejected: &self.ejected,
                adapters: &self.adapters,
            };
            let Some(change) = plan.next_change() else {
                return;
            };
            out.push(action::Action::Log(process::Entry::PlacementDecided {
                server: change.load.server.clone(),
                change: change.load.order.to_string(),
                fence: self.fence.unwrap_or_default(),
                reason: change.reason,
            }));
            self.loads.begin(change.load, None, now);
        }
    }

    /// Reads each engine whose weight load is recorded in the lease object and due for a check.
    fn read_engines(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        for ticket in self.loads.due(now) {
            let Some(active) = self.loads.get(ticket) else {
                continue;
            };
            let Some(address) = self.address(&active.load.server) else {
                continue;
            };
            if !self.is_recorded(&active.load) {
                continue;
            }
            if let Some(active) = self.loads.get_mut(ticket) {
                active.stage = loads::Stage::Reading;
                out.push(action::Action::ReadEngine { ticket, address });
            }
        }
    }

    /// Handles the load report of an engine: ends its weight load, sends the order, or waits.
    ///
    /// An order needs a report that was measured under this lease, so that it can't rely on what
    /// the engine had loaded before the last order of the previous holder.
    fn on_engine_read(
        &mut self,
        ticket: u64,
        begun_at: ids::Timestamp,
        result: Result<backend_server::LoadReport, backend_server::BackendServerError>,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let Some(active) = self.loads.get_mut(ticket) else {
            return;
        };
        let Ok(report) = result else {
            active.on_read_failure(now);
            return;
        };
        match active.on_report(&report, now) {
            loads::Next::Wait => {}
            loads::Next::Done => self.finish(ticket, out),
            loads::Next::Order => {
                let measured_at = begun_at.saturating_sub(report.age);
                let is_under_lease = measured_at >= self.lease.may_order_from();
                if is_under_lease && !report.leaving {
                    self.send_order(ticket, now, out);
                }
            }
        }
    }

    /// Sends the order of a load if lease, configuration and weight store allow it now.
    fn send_order(&mut self, ticket: u64, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        let (Some(active), Some(fence)) = (self.loads.get(ticket), self.fence) else {
            return;
        };
        let Some(address) = self.address(&active.load.server) else {
            return;
        };
        let text = self.snapshot.as_ref().map(|snapshot| &snapshot.text);
        let is_eligible = self.engines.get(&active.load.server).is_some();
        let is_required =
            is_eligible && text.is_some_and(|text| is_required(text, &active.load.order));
        let is_free = self.loads.may_order(now) && !self.loads.is_calling(&active.load.server);
        let may_order = self.may_send_orders(now) && self.is_recorded(&active.load);
        if !is_required || !is_free || !may_order {
            return;
        }
        out.push(action::Action::Order {
            ticket,
            address,
            fence,
            order: active.load.order.clone(),
            send_by: self.lease.may_order_until().min(now + SEND_WITHIN),
        });
        self.loads.order_sent(ticket, now);
    }

    /// Handles the end of the call that sent an order.
    ///
    /// A load ends here if its first order certainly had no effect. Otherwise the engine's next
    /// report decides, except for adapters, which reports do not show: their load ends once their
    /// order is accepted.
    fn on_order_ended(
        &mut self,
        ticket: u64,
        outcome: &event::OrderOutcome,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        self.loads.on_order_ended(ticket, now);
        let Some(active) = self.loads.get(ticket) else {
            return;
        };
        match outcome {
            event::OrderOutcome::Accepted => {
                out.push(self.order_log_entry(active, "accepted"));
                if let backend_server::Order::LoadAdapter { adapter } = &active.load.order {
                    self.record_adapter(active.load.server.clone(), adapter.clone());
                    self.finish(ticket, out);
                }
            }
            event::OrderOutcome::TooLate => out.push(self.order_log_entry(active, "too late")),
            event::OrderOutcome::Failed(e) => {
                out.push(self.order_log_entry(active, &e.to_string()));
                let may_run = matches!(e, backend_server::BackendServerError::Broken(_));
                if !may_run && active.orders == 1 {
                    let server = active.load.server.clone();
                    self.ejected.insert(server, now + EJECTION_TIME);
                    self.loads.end(ticket);
                }
            }
        }
    }

    /// Records that an engine accepted an adapter in its current epoch.
    fn record_adapter(&mut self, server: ids::BackendServerId, adapter: String) {
        let Some(engine) = self.engines.get(&server) else {
            return;
        };
        let (epoch, accepted) = self.adapters.entry(server).or_default();
        if *epoch != engine.epoch {
            *epoch = engine.epoch;
            accepted.clear();
        }
        accepted.insert(adapter);
    }

    /// Ends a load that is done.
    fn finish(&mut self, ticket: u64, out: &mut Vec<action::Action>) {
        if let Some(active) = self.loads.end(ticket) {
            out.push(self.order_log_entry(&active, "done"));
        }
    }

    /// Returns whether orders may be sent: the lease is valid, and the configuration is confirmed.
    fn may_send_orders(&self, now: ids::Timestamp) -> bool {
        let is_fresh = self
            .snapshot
            .as_ref()
            .is_some_and(|snapshot| now < snapshot.may_place_until);
        is_fresh && now < self.lease.may_order_until()
    }

    fn is_recorded(&self, load: &record::WeightLoad) -> bool {
        let held = self.lease.held();
        held.is_some_and(|held| held.recorded.contains(load))
    }

    fn address(&self, server: &str) -> Option<String> {
        let snapshot = self.snapshot.as_ref()?;
        Some(snapshot.servers.get(server)?.address.clone())
    }

    fn order_log_entry(&self, active: &loads::ActiveLoad, result: &str) -> action::Action {
        action::Action::Log(process::Entry::PlacementOrdered {
            server: active.load.server.clone(),
            change: active.load.order.to_string(),
            fence: self.fence.unwrap_or_default(),
            result: result.to_owned(),
        })
    }
}

/// Returns whether the configuration requires what an order loads.
fn is_required(text: &mustardshed_config::text::Text, order: &backend_server::Order) -> bool {
    match order {
        backend_server::Order::LoadModel { model, version } => text
            .models
            .get(model)
            .is_some_and(|model| model.version == *version),
        backend_server::Order::LoadAdapter { adapter } => {
            let mut models = text.models.values();
            models.any(|model| model.adapters.contains(adapter))
        }
        backend_server::Order::ChangeRole { .. } => false,
    }
}

fn lease_log_entry(fence: ids::FencingNumber, state: &'static str) -> action::Action {
    action::Action::Log(process::Entry::PlacementLease { fence, state })
}

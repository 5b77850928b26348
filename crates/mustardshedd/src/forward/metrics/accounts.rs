//! Metrics of how accounts share services.

use std::collections;

use mustardshed::core::forward::account_shares;

use crate::forward::{cx, metrics};

/// Gauges of each service whose accounts are counted.
#[derive(Debug)]
pub(super) struct Accounts {
    largest: prometheus::IntGaugeVec,
    share: prometheus::GaugeVec,
}

impl Accounts {
    pub(super) fn new(registry: &prometheus::Registry) -> prometheus::Result<Self> {
        let opts =
            |name: &str, help: &str| prometheus::Opts::new(name, help).namespace("mustardshed");
        let largest = opts(
            "largest_account_requests",
            "Requests in flight on a service of the account that has most, of all entries",
        );
        let share = opts(
            "account_share_requests",
            "Requests that an account may have in flight on a service now if others need it too",
        );
        let labels = &["service"];
        let largest = prometheus::IntGaugeVec::new(largest, labels)?;
        let share = prometheus::GaugeVec::new(share, labels)?;
        Ok(Self {
            largest: metrics::register(registry, largest)?,
            share: metrics::register(registry, share)?,
        })
    }

    /// Sets the gauges to the current values.
    pub(super) fn update(&self, state: &cx::State) {
        self.largest.reset();
        self.share.reset();
        let Some(tracker) = state.loads.accounts() else {
            return;
        };
        for (service, slots) in slots(state) {
            let Some(largest) = account_shares::largest(tracker, service, slots) else {
                continue;
            };
            let requests = self.largest.with_label_values(&[service]);
            requests.set(metrics::signed(largest.usage.slots as u64));
            self.share.with_label_values(&[service]).set(largest.share);
        }
    }
}

/// Returns the slots of the listed servers, by service.
fn slots(state: &cx::State) -> collections::BTreeMap<&str, usize> {
    let mut slots = collections::BTreeMap::new();
    for server in state.view.servers() {
        let sum: &mut usize = slots.entry(server.service.as_str()).or_default();
        *sum += usize::try_from(server.slots).unwrap_or_default();
    }
    slots
}

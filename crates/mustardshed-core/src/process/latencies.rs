//! One-way latency to each data centre, measured by heartbeats and their acknowledgements.

use std::{collections, time};

use crate::ids;

/// A sample above the estimate is weighted by one over this; a lower one replaces the estimate.
const SMOOTHING: u32 = 8;

/// One-way latency to each data centre.
#[derive(Debug, Default)]
pub struct Latencies {
    by_data_centre: collections::BTreeMap<ids::DataCentreId, time::Duration>,
}

impl Latencies {
    /// Updates the estimate of a data centre with the round-trip time to one of its members.
    pub fn observe(&mut self, data_centre: &str, round_trip: time::Duration) {
        let latest = round_trip / 2;
        match self.by_data_centre.get_mut(data_centre) {
            Some(latency) if latest >= *latency => {
                *latency = (*latency * (SMOOTHING - 1) + latest) / SMOOTHING;
            }
            Some(latency) => *latency = latest,
            None => {
                self.by_data_centre.insert(data_centre.to_owned(), latest);
            }
        }
    }

    /// Returns the latency estimates by data centre.
    pub const fn all(&self) -> &collections::BTreeMap<ids::DataCentreId, time::Duration> {
        &self.by_data_centre
    }
}

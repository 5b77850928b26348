//! One-way delay to each data centre, from acknowledgements of heartbeats.

use std::{collections, time};

use crate::ids;

/// Weight of the latest observation is one over this, if it is longer than those before.
const SMOOTHING: u32 = 8;

/// One-way delay to each data centre.
#[derive(Debug, Default)]
pub struct Latencies {
    by_data_centre: collections::BTreeMap<ids::DataCentreId, time::Duration>,
}

impl Latencies {
    /// Takes the round trip to a member of a data centre.
    pub fn observe(&mut self, data_centre: &str, round_trip: time::Duration) {
        let latest = round_trip / 2;
        match self.by_data_centre.get_mut(data_centre) {
            Some(distance) if latest >= *distance => {
                *distance = (*distance * (SMOOTHING - 1) + latest) / SMOOTHING;
            }
            Some(distance) => *distance = latest,
            None => {
                self.by_data_centre.insert(data_centre.to_owned(), latest);
            }
        }
    }

    /// Returns the delays.
    pub const fn all(&self) -> &collections::BTreeMap<ids::DataCentreId, time::Duration> {
        &self.by_data_centre
    }
}

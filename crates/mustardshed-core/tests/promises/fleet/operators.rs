//! Operators' changes: an intent to every entry, a conditional write, a commit to every entry.

use std::time;

use mustardshed_core::{ids, process::event, version::record};

use super::{ENTRIES, Fleet, Run, Task, network};

/// A change by an operator.
#[derive(Clone, Debug)]
pub struct Change {
    pub data_centre: ids::DataCentreId,
    pub is_out: bool,
    pub then_outage: bool,
    pub sends_commit: bool,
}

impl Fleet {
    /// Lets operators change the data centres out of service concurrently, each from the same
    /// configuration.
    pub fn operate(&mut self, changes: &[Change]) {
        let Some((version, present)) = self.platform.accepted(self.now) else {
            return;
        };
        let mut plans = Vec::new();
        for change in changes {
            let mut next = present.clone();
            next.generation += 1;
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
            self.send_to_all(
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
            if change.sends_commit && !(is_lost && self.platform.is_out) {
                self.send_to_all(
                    |ticket, record| event::Event::Commit { ticket, record },
                    ticket,
                    &next,
                );
            }
        }
    }

    fn send_to_all(
        &mut self,
        event: impl Fn(u64, record::Record) -> event::Event,
        ticket: u64,
        record: &record::Record,
    ) {
        let runs: Vec<Run> = self.runs();
        for run in runs {
            if let Some(at) = self.network.arrival(network::OPERATOR, &run.0, self.now) {
                self.schedule(at, run, Task::Handle(event(ticket, record.clone())));
            }
        }
    }
}

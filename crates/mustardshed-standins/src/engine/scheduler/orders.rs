//! Orders that change what an engine runs.

use std::time;

use serde::Deserialize;

use crate::engine::{records, refusal, scheduler, settings};

/// An order as it arrives.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Fencing number of the holder that gives the order.
    pub fence: u64,
    /// Order.
    pub order: serde_json::Value,
}

/// Orders that an engine knows.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Order {
    LoadModel { model: String, version: String },
    LoadAdapter { adapter: String },
    ChangeRole { role: String },
}

impl scheduler::Scheduler {
    /// Carries an order out; the same order again changes nothing.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::OldFence`] if the engine checks fencing numbers and has seen a
    /// greater one, [`refusal::Refusal::BadRequest`] if it does not know the order.
    pub fn order(
        &mut self,
        now: time::Duration,
        req: OrderRequest,
    ) -> Result<(), refusal::Refusal> {
        self.advance(now);
        let order: Order =
            serde_json::from_value(req.order.clone()).map_err(|_| refusal::Refusal::BadRequest)?;
        let checks = self.settings.fencing == settings::Fencing::Checked;
        let accepted = !checks || req.fence >= self.greatest_fence;
        self.records.add_order(records::OrderRecord {
            at_ms: now.as_millis() as u64,
            fence: req.fence,
            order: req.order,
            accepted,
        });
        if !accepted {
            return Err(refusal::Refusal::OldFence);
        }
        self.greatest_fence = self.greatest_fence.max(req.fence);
        self.carry_out(order);
        Ok(())
    }

    fn carry_out(&mut self, order: Order) {
        match order {
            Order::LoadModel { model, version } => {
                self.models.insert(model, version);
            }
            Order::LoadAdapter { adapter } => {
                self.adapters.insert(adapter);
            }
            Order::ChangeRole { role } => self.role = Some(role),
        }
    }
}

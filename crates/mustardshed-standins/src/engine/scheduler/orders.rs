//! Orders that change an engine's models, adapters or role.

use std::time;

use serde::Deserialize;

use crate::engine::{records, refusal, scheduler, settings};

/// An order as received.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Fencing number of the lease holder that sent the order.
    pub fence: u64,
    /// The order itself.
    pub order: serde_json::Value,
}

/// Orders that an engine understands.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Order {
    LoadModel { model: String, version: String },
    LoadAdapter { adapter: String },
    ChangeRole { role: String },
}

impl scheduler::Scheduler {
    /// Applies an order; this is idempotent.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::OldFence`] if the engine checks fencing numbers and has seen a
    /// greater one, [`refusal::Refusal::BadRequest`] if the order is unknown.
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
        self.apply_order(order);
        Ok(())
    }

    fn apply_order(&mut self, order: Order) {
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

//! Target of one attempt: a single engine or a gang.

use mustardshed::core::{
    ids,
    request::{
        gang,
        route::{decision, estimate},
    },
};

/// Target of one attempt.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Engine that the prompt is sent to.
    pub leader: gang::Engine,
    /// All engines in the order of their names; only the leader if there is no gang.
    pub engines: Vec<gang::Engine>,
    /// Data centre of all engines.
    pub data_centre: ids::DataCentreId,
    /// KV memory that each engine holds, in tokens.
    pub tokens_each: ids::Tokens,
    /// Prompt tokens that each engine must prefill.
    pub prefill_each: ids::Tokens,
    /// Estimated time to first token.
    pub estimate: estimate::Estimate,
}

impl Plan {
    /// Returns the plan for one engine.
    pub fn single(decision: decision::Decision, memory_tokens: ids::Tokens) -> Self {
        let leader = gang::Engine {
            server: decision.server,
            address: decision.address,
        };
        Self {
            engines: vec![leader.clone()],
            leader,
            data_centre: decision.data_centre,
            tokens_each: memory_tokens,
            prefill_each: decision.prefill_tokens,
            estimate: decision.estimate,
        }
    }

    /// Returns the plan for a gang, whose first engine is the leader; `None` if it has no engine.
    pub fn gang(plan: gang::Plan) -> Option<Self> {
        let lead = plan.engines.first()?.clone();
        Some(Self {
            leader: lead,
            engines: plan.engines,
            data_centre: plan.data_centre,
            tokens_each: plan.tokens_each,
            prefill_each: plan.prefill_each,
            estimate: plan.estimate,
        })
    }

    /// Returns whether several engines share the prompt.
    pub const fn is_gang(&self) -> bool {
        self.engines.len() > 1
    }

    /// Returns the steps that acquire the engines, in order.
    pub fn acquire_steps(&self) -> Vec<gang::AcquireStep> {
        if self.is_gang() {
            return gang::acquire_steps(self.engines.len());
        }
        vec![gang::AcquireStep::Credit(0)]
    }

    /// Returns the addresses of a gang's engines, the leader's first; empty for a single engine.
    pub fn gang_addresses(&self) -> Vec<String> {
        if !self.is_gang() {
            return Vec::new();
        }
        self.engines.iter().map(|e| e.address.clone()).collect()
    }

    /// Returns the names of all engines, separated by commas, for the log.
    pub fn server_names(&self) -> String {
        let names: Vec<_> = self.engines.iter().map(|e| e.server.as_str()).collect();
        names.join(",")
    }
}

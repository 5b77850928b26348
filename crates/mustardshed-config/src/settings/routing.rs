//! Load-balancing policy for backend servers.

use crate::{
    problem,
    reader::{field, read},
};

/// Load-balancing policy: how an entry picks one of the eligible backend servers for a request.
///
/// All but [`Routing::Estimate`] are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Routing {
    /// Lowest estimated time to first token among a few sampled servers.
    #[default]
    Estimate,
    /// Servers in turn.
    RoundRobin,
    /// The server with the fewest requests.
    LeastRequests,
    /// The server that has the prompt's prefix cached, whatever its load.
    PrefixAffinity,
}

impl Routing {
    /// Reads the value of `routing`.
    pub(super) fn read(field: &field::Field<'_, '_>) -> Option<Self> {
        let value = match field.string()? {
            "estimate" => Some(Self::Estimate),
            "round_robin" => Some(Self::RoundRobin),
            "least_requests" => Some(Self::LeastRequests),
            "prefix_affinity" => Some(Self::PrefixAffinity),
            _ => None,
        };
        let choices = "\"estimate\", \"round_robin\", \"least_requests\", \"prefix_affinity\"";
        read::checked(field, value, problem::Reason::NotAChoice { choices })
    }
}

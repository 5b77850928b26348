//! Policy by which an entry chooses a backend server.

use crate::{
    problem,
    reader::{field, read},
};

/// Policy by which an entry chooses among the backend servers that may be given a request.
///
/// All but [`Routing::Estimate`] are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Routing {
    /// Least estimated time to first token of a few servers.
    #[default]
    Estimate,
    /// One server after the other.
    RoundRobin,
    /// Fewest requests.
    LeastRequests,
    /// The server that holds the prompt's prefix, whatever its load.
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

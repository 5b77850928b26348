//! One accepted or intended configuration.

use std::collections;

use crate::ids;

/// Configuration text and data centres out of service, with their generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Generation; one more than that of the record it replaces.
    pub generation: ids::Generation,
    /// Configuration text as the operator wrote it.
    pub text: String,
    /// Data centres that get no new work.
    pub data_centres_out: collections::BTreeSet<ids::DataCentreId>,
    /// Random value by which its writer recognises it after a lost response.
    pub nonce: String,
    /// Who wrote it, for the history.
    pub author: String,
}

//! The parts of a configuration in the order of its text.

use crate::{
    forward::routes::{Account, ClientLimits, Route, Routes, Service, Undecoded},
    ids,
};

/// A configuration before it is indexed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parts {
    /// Version; later ones are greater.
    pub version: ids::Generation,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on clients, if there are any.
    pub limits: Option<ClientLimits>,
    /// Accounts with their keys, if requests need keys.
    pub accounts: Option<Vec<(Account, Vec<String>)>>,
    /// What could not be decoded.
    pub undecoded: Undecoded,
    /// Values that have no effect as they are written.
    pub ineffective: Vec<Ineffective>,
}

/// A value that has no effect as it is written.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum Ineffective {
    /// route {0}: the maximum number of attempts is 0 and counts as 1
    NoAttempts(String),
    /// service {0}: its servers have a cold start time but no rate while cold, and count as never cold
    NoColdRate(ids::ServiceId),
}

impl From<Parts> for Routes {
    fn from(parts: Parts) -> Self {
        let Parts {
            version,
            routes,
            services,
            limits,
            accounts,
            undecoded,
            ..
        } = parts;
        Self::new(version, routes, services, limits, accounts).with_undecoded(undecoded)
    }
}

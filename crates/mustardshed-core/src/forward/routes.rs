//! Routes, services and client accounts of one configuration.

use std::{collections, time};

use crate::{
    forward::{engine, urgency},
    ids,
};

pub mod diff;
pub mod lint;
mod parts;
mod undecoded;

pub use parts::{Ineffective, Parts};
pub use undecoded::Undecoded;

/// Why no route or no account is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotFound {
    /// The configuration has none.
    Unknown,
    /// It may be in a part of the configuration that could not be decoded.
    Undecoded,
}

/// Whether requests on a route may be repeated, and whether they stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is an event stream; the request runs at most once.
    Stream,
    /// The response is an event stream that another server can resume after the last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether the response is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// Host of its requests, in lower case.
    pub host: String,
    /// Prefix of the paths of its requests; starts and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated, and whether they stream.
    pub kind: RouteKind,
    /// Longest time for which a request is kept waiting.
    pub timeout: time::Duration,
    /// Target time to the response, or to the first event of a stream.
    pub objective: time::Duration,
    /// Target for the longest gap between two events of a stream.
    pub gap_objective: time::Duration,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<(ids::ServiceId, u32)>,
    /// Maximum number of servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl Route {
    /// Picks a service by weight; `draw` is uniform over all values. Returns none if the weights
    /// add up to zero.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&ids::ServiceId> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for (service, weight) in &self.services {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(service),
            }
        }
        None
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ids::ServiceId,
    /// Requests per second that a cold server can take; none if its servers are never cold.
    pub cold_rate_limit: Option<f64>,
    /// Speed of its engines; none for a plain service.
    pub engine: Option<engine::Profile>,
}

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive a head.
    pub header_timeout: time::Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: time::Duration,
}

/// A client account with its priority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name.
    pub name: ids::ClientAccountId,
    /// Priority that overrides the route's, if the account has one.
    pub priority: Option<u8>,
}

/// An indexed configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Version; later ones are greater.
    pub version: ids::Generation,
    /// Limits on clients, if the configuration has any.
    pub limits: Option<ClientLimits>,
    services: collections::HashMap<ids::ServiceId, Service>,
    by_host: collections::HashMap<String, Vec<Route>>,
    accounts: collections::HashMap<String, Account>,
    /// Greatest priority among the routes of each service.
    least_urgent: collections::HashMap<ids::ServiceId, u8>,
    needs_keys: bool,
    undecoded: Undecoded,
}

impl Routes {
    /// Indexes the parts of a configuration.
    #[must_use]
    pub fn new(
        version: ids::Generation,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Option<ClientLimits>,
        accounts: Option<Vec<(Account, Vec<String>)>>,
    ) -> Self {
        let mut by_host: collections::HashMap<String, Vec<Route>> = collections::HashMap::new();
        let mut least_urgent: collections::HashMap<ids::ServiceId, u8> =
            collections::HashMap::new();
        for route in routes {
            for (service, _) in &route.services {
                let least = least_urgent.entry(service.clone()).or_default();
                *least = route.priority.max(*least);
            }
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let needs_keys = accounts.is_some();
        let accounts = accounts.unwrap_or_default().into_iter();
        let accounts = accounts
            .flat_map(|(account, keys)| keys.into_iter().map(move |key| (key, account.clone())))
            .collect();
        Self {
            version,
            limits,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            by_host,
            accounts,
            least_urgent,
            needs_keys,
            undecoded: Undecoded::default(),
        }
    }

    /// Sets the parts of the configuration that could not be decoded.
    #[must_use]
    pub fn with_undecoded(mut self, undecoded: Undecoded) -> Self {
        self.undecoded = undecoded;
        self
    }

    /// Returns the parts of the configuration that could not be decoded.
    #[must_use]
    pub const fn undecoded(&self) -> &Undecoded {
        &self.undecoded
    }

    /// Returns the route of the host with the longest prefix of the path.
    ///
    /// # Errors
    ///
    /// Returns [`NotFound::Undecoded`] if that route could not be decoded.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, NotFound> {
        let host = host.to_ascii_lowercase();
        let mut routes = self.by_host.get(&host).into_iter().flatten();
        let route = routes.find(|route| path.starts_with(&route.prefix));
        let undecoded = self.undecoded.longest_prefix(&host, path);
        match (route, undecoded) {
            (Some(route), Some(prefix)) if prefix.len() > route.prefix.len() => {
                Err(NotFound::Undecoded)
            }
            (Some(route), _) => Ok(route),
            (None, Some(_)) => Err(NotFound::Undecoded),
            (None, None) => Err(NotFound::Unknown),
        }
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns how much more a request on a route counts than the least urgent ones of a service, by
    /// the priorities of the routes.
    #[must_use]
    pub fn urgency(&self, route: &Route, service: &str) -> f64 {
        let least_urgent = self.least_urgent.get(service).copied();
        urgency::factor(route.priority, least_urgent.unwrap_or(route.priority))
    }

    /// Returns the account that holds an API key.
    ///
    /// # Errors
    ///
    /// Returns [`NotFound::Undecoded`] if an account that could not be decoded may hold the key.
    pub fn account(&self, key: &str) -> Result<&Account, NotFound> {
        let missing = if self.undecoded.may_hold_key(key) {
            NotFound::Undecoded
        } else {
            NotFound::Unknown
        };
        self.accounts.get(key).ok_or(missing)
    }

    /// Returns whether requests on a route must carry an API key.
    #[must_use]
    pub const fn needs_key(&self, route: &Route) -> bool {
        self.needs_keys && !route.is_public
    }
}

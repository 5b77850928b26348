//! A change of a plain service's faults, as received over HTTP.

/// Faults to change; what is absent stays.
#[derive(Clone, Debug, Default, serde::Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct FaultsChange {
    /// See [`crate::service::faults::Faults::dead`].
    pub dead: Option<bool>,
    /// See [`crate::service::faults::Faults::leaving`].
    pub leaving: Option<bool>,
    /// Makes the service cold now, without notifying its callers.
    pub turn_cold: bool,
    /// See [`crate::service::faults::Faults::load_lag_ms`].
    pub load_lag_ms: Option<u64>,
    /// See [`crate::service::faults::Faults::slow_percent`].
    pub slow_percent: Option<u32>,
    /// See [`crate::service::faults::Faults::lose_answers`].
    pub lose_answers: Option<u64>,
}

//! A change of the platform's faults, as received over HTTP.

use std::collections;

use serde::Deserialize;

/// Faults to change; what is absent stays.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct FaultsChange {
    /// See [`crate::platform::faults::Faults::outage`].
    pub outage: Option<bool>,
    /// See [`crate::platform::faults::Faults::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`crate::platform::faults::Faults::lose_answers`].
    pub lose_answers: Option<u64>,
    /// See [`crate::platform::faults::Faults::lose_answers_kind`]; `null` stands for any kind.
    #[serde(deserialize_with = "present")]
    pub lose_answers_kind: Option<Option<String>>,
    /// See [`crate::platform::faults::Faults::stale_reads_ms`].
    pub stale_reads_ms: Option<u64>,
    /// See [`crate::platform::faults::Faults::list_lag_ms`].
    pub list_lag_ms: Option<u64>,
    /// See [`crate::platform::faults::Faults::forgotten_before`].
    pub forgotten_before: Option<u64>,
    /// See [`crate::platform::faults::Faults::cut`].
    pub cut: Option<collections::BTreeSet<String>>,
    /// See [`crate::platform::faults::Faults::unnamed`].
    pub unnamed: Option<collections::BTreeSet<String>>,
}

/// Distinguishes a `null` field from an absent one.
fn present<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Option<String>>, D::Error> {
    Option::deserialize(deserializer).map(Some)
}

//! Counts of calls by kind, purpose and caller.

use std::collections;

use crate::platform::call;

/// Largest number of callers counted separately.
const MAX_CALLERS: usize = 1_024;
/// Largest number of purposes counted separately, in total and per caller.
const MAX_PURPOSES: usize = 64;
/// Label of callers and purposes beyond the limits.
const OTHER: &str = "other";

/// Counts of calls, refused ones included; a waiting watch counts once.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Calls {
    /// Every call.
    pub total: u64,
    /// Calls by kind.
    pub by_kind: collections::BTreeMap<&'static str, u64>,
    /// Calls by stated purpose.
    pub by_purpose: collections::BTreeMap<String, u64>,
    /// Calls by caller, then by stated purpose.
    pub by_caller: collections::BTreeMap<String, collections::BTreeMap<String, u64>>,
}

impl Calls {
    /// Counts one call.
    pub fn count(&mut self, call: &call::Call) {
        self.total += 1;
        *self.by_kind.entry(call.kind.as_str()).or_default() += 1;
        bump(&mut self.by_purpose, &call.purpose);
        let caller = bounded(&self.by_caller, &call.caller, MAX_CALLERS).to_owned();
        bump(self.by_caller.entry(caller).or_default(), &call.purpose);
    }
}

fn bump(counts: &mut collections::BTreeMap<String, u64>, label: &str) {
    let label = bounded(counts, label, MAX_PURPOSES).to_owned();
    *counts.entry(label).or_default() += 1;
}

fn bounded<'a, T>(
    counts: &collections::BTreeMap<String, T>,
    label: &'a str,
    limit: usize,
) -> &'a str {
    if counts.len() < limit || counts.contains_key(label) {
        label
    } else {
        OTHER
    }
}

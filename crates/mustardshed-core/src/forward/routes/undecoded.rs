//! Parts of a configuration that could not be decoded.

use std::collections;

/// Parts of a configuration that could not be decoded. What they decide is unknown, so requests that
/// they may concern are neither forwarded nor told that there is no such route or key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Undecoded {
    /// Hosts, in lower case, and prefixes of routes.
    pub routes: Vec<(String, String)>,
    /// Keys of accounts.
    pub keys: collections::HashSet<String>,
    /// Whether there are accounts whose keys are unknown.
    pub has_unknown_keys: bool,
    /// What could not be decoded and why, for the log.
    pub problems: Vec<String>,
}

impl Undecoded {
    /// Returns the longest prefix of a path among the routes of a host.
    pub(super) fn longest_prefix(&self, host: &str, path: &str) -> Option<&str> {
        let routes = self.routes.iter();
        let prefixes = routes.filter(|(of, prefix)| of == host && path.starts_with(prefix));
        let prefixes = prefixes.map(|(_, prefix)| prefix.as_str());
        prefixes.max_by_key(|prefix| prefix.len())
    }

    /// Returns whether one of the accounts may hold a key.
    pub(super) fn may_hold_key(&self, key: &str) -> bool {
        self.has_unknown_keys || self.keys.contains(key)
    }
}

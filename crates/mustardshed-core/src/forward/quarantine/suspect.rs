//! A request that may have crashed the server that was to answer it.

use crate::ids;

/// A request that a server had not begun to answer when it crashed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Suspect {
    /// The part of its prompt that no other request has, except repeats.
    pub own: ids::PromptPartId,
    /// The other parts of its prompt.
    pub shared: Vec<ids::PromptPartId>,
}

impl Suspect {
    /// Creates the suspect for a request with these prompt parts; none if it shares no part with
    /// other requests.
    #[must_use]
    pub fn new(parts: &[ids::PromptPartId]) -> Option<Self> {
        let (own, shared) = parts.split_last()?;
        (!shared.is_empty()).then(|| Self {
            own: own.clone(),
            shared: shared.to_vec(),
        })
    }

    /// Returns all parts of its prompt; its own is the last one.
    #[must_use]
    pub fn parts(&self) -> Vec<ids::PromptPartId> {
        let own = std::iter::once(&self.own);
        self.shared.iter().chain(own).cloned().collect()
    }
}

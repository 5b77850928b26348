//! Prompt parts of requests that servers have recently begun to answer.

use std::collections;

use crate::ids;

/// Parts in one of the two generations.
const GENERATION_LEN: usize = 4_096;

/// When requests with a part were last answered; of the least recent parts, some are forgotten.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    current: collections::HashMap<ids::PromptPartId, ids::Timestamp>,
    previous: collections::HashMap<ids::PromptPartId, ids::Timestamp>,
}

impl RecentAnswers {
    pub(super) fn record(&mut self, part: &str, at: ids::Timestamp) {
        if let Some(known) = self.current.get_mut(part) {
            *known = at.max(*known);
            return;
        }
        if self.current.len() >= GENERATION_LEN {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part.to_owned(), at);
    }

    /// Returns whether a request with this part was answered at `since` or later.
    pub(super) fn has_since(&self, part: &str, since: ids::Timestamp) -> bool {
        let generations = [&self.current, &self.previous];
        let mut times = generations.iter().filter_map(|parts| parts.get(part));
        times.any(|at| *at >= since)
    }
}

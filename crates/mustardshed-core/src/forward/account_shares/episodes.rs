//! When accounts were over their share, so that it is reported once and not for each request.

use std::{collections, time};

use crate::ids;

/// Time without refusals after which an account counts as within its share again.
const QUIET_TIME: time::Duration = time::Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Episode {
    began_at: ids::Timestamp,
    last_at: ids::Timestamp,
    refused: u64,
}

/// An episode that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// The service.
    pub service: ids::ServiceId,
    /// The account.
    pub account: ids::ClientAccountId,
    /// Requests that were refused.
    pub refused: u64,
    /// Time from the first to the last refusal.
    pub lasted: time::Duration,
}

/// Accounts whose requests were lately refused because of their share.
#[derive(Debug, Default)]
pub struct Episodes {
    episodes: collections::BTreeMap<(ids::ServiceId, ids::ClientAccountId), Episode>,
}

impl Episodes {
    /// Records a refusal; returns whether it is the first of an episode.
    pub fn record_refused(&mut self, service: &str, account: &str, now: ids::Timestamp) -> bool {
        let key = (service.to_owned(), account.to_owned());
        let episode = self.episodes.entry(key).or_insert(Episode {
            began_at: now,
            last_at: now,
            refused: 0,
        });
        episode.last_at = now;
        episode.refused += 1;
        episode.refused == 1
    }

    /// Removes and returns the episodes that have ended.
    pub fn take_ended(&mut self, now: ids::Timestamp) -> Vec<Ended> {
        let has_ended = |episode: &Episode| now.saturating_sub(episode.last_at) >= QUIET_TIME;
        let ended = self
            .episodes
            .extract_if(.., |_, episode| has_ended(episode));
        let ended = ended.map(|((service, account), episode)| Ended {
            service,
            account,
            refused: episode.refused,
            lasted: episode.last_at.saturating_sub(episode.began_at),
        });
        ended.collect()
    }
}

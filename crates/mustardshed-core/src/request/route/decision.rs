//! A routing decision with its reasons.

use std::{fmt, time};

use crate::{
    boundary::backend_server,
    ids,
    process::snapshot,
    request::route::{estimate, exclusion, work},
};

/// The chosen server, and why it was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Chosen server.
    pub server: ids::BackendServerId,
    /// Its `IP:PORT`.
    pub address: String,
    /// Its data centre.
    pub data_centre: ids::DataCentreId,
    /// Its warmth.
    pub warmth: backend_server::Warmth,
    /// Estimated time to first token.
    pub estimate: estimate::Estimate,
    /// Prompt tokens that it must prefill.
    pub prefill_tokens: ids::Tokens,
    /// Number of sampled servers, of which it has the lowest estimate.
    pub sampled: usize,
    /// Servers that were checked and excluded.
    pub excluded: NoRoute,
}

impl Decision {
    pub(crate) fn new(
        server: &snapshot::ServerView,
        estimate: estimate::Estimate,
        sampled: usize,
        excluded: NoRoute,
        work: &work::Work<'_>,
    ) -> Self {
        Self {
            server: server.id.clone(),
            address: server.address.clone(),
            data_centre: server.data_centre.clone(),
            warmth: server.warmth,
            estimate,
            prefill_tokens: work.uncached_tokens(server),
            sampled,
            excluded,
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let warmth = match self.warmth {
            backend_server::Warmth::Cold => "cold",
            backend_server::Warmth::Warm => "warm",
        };
        write!(
            f,
            "lowest estimate of {} sampled, {warmth}: {}",
            self.sampled, self.estimate
        )?;
        if self.excluded.excluded.is_empty() {
            return Ok(());
        }
        write!(f, "; excluded: {}", self.excluded)
    }
}

/// One server with its estimate, or the reason that excludes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Server.
    pub server: ids::BackendServerId,
    /// Estimate or exclusion.
    pub verdict: Result<estimate::Estimate, exclusion::Exclusion>,
}

impl Candidate {
    /// Returns the estimated time to first token, if the server is not excluded.
    pub fn estimate(&self) -> Option<time::Duration> {
        self.verdict.as_ref().ok().map(estimate::Estimate::total)
    }

    /// Returns the parts of the estimate, or the reason that excludes the server.
    pub fn reason(&self) -> String {
        match &self.verdict {
            Ok(estimate) => estimate.to_string(),
            Err(reason) => reason.to_string(),
        }
    }
}

/// Why no server may be given the work.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NoRoute {
    /// Servers of the right kind, each with the reason that excludes it.
    pub excluded: Vec<(ids::BackendServerId, exclusion::Exclusion)>,
}

impl NoRoute {
    pub(crate) fn add(&mut self, server: &str, reason: exclusion::Exclusion) {
        self.excluded.push((server.to_owned(), reason));
    }

    /// Returns whether any server is excluded for a transient reason.
    pub fn is_transient(&self) -> bool {
        self.excluded
            .iter()
            .any(|(_, reason)| reason.is_transient())
    }

    /// Returns whether `reason` excludes every server of the right kind; `false` if there is none.
    pub fn is_all_excluded_by(&self, reason: exclusion::Exclusion) -> bool {
        !self.excluded.is_empty() && self.excluded.iter().all(|(_, other)| *other == reason)
    }
}

impl fmt::Display for NoRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.excluded.is_empty() {
            return f.write_str("no server of this kind is known");
        }
        for (index, (server, reason)) in self.excluded.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{server}: {reason}")?;
        }
        Ok(())
    }
}

//! The accounts of requests, where services are shared fairly among accounts.

use mustardshed::{
    config::forwarding,
    core::{
        forward::{account_shares, load_tracker, placement},
        ids,
    },
};

use crate::{
    forward::cx::{self, Cx},
    log::{self, event},
};

/// Creates the load tracker, which counts accounts only where services are shared among them.
pub(super) fn load_tracker(settings: &forwarding::Forwarding) -> load_tracker::LoadTracker {
    if settings.accounts.fair_shares {
        load_tracker::LoadTracker::with_accounts()
    } else {
        load_tracker::LoadTracker::default()
    }
}

/// Returns what the share of its account allows a request.
pub(super) fn standing(
    loads: &load_tracker::LoadTracker,
    wanted: &cx::PlacementRequest<'_>,
    candidates: &[placement::Candidate<'_>],
) -> account_shares::Standing {
    let (Some(tracker), Some(account)) = (loads.accounts(), wanted.account) else {
        return account_shares::Standing::UNLIMITED;
    };
    let profile = wanted.service.engine.as_ref();
    account_shares::Standing::new(tracker, &wanted.service.name, account, candidates, profile)
}

/// Returns the account that a request counts for; none if accounts are not counted.
pub(super) fn counted(
    loads: &load_tracker::LoadTracker,
    wanted: &cx::PlacementRequest<'_>,
) -> Option<ids::ClientAccountId> {
    let account = wanted.account.filter(|_| loads.accounts().is_some());
    account.map(str::to_owned)
}

impl cx::State {
    /// Records which services the listed servers run, if the work of accounts is counted.
    pub fn assign_servers(&mut self) {
        let Some(tracker) = self.loads.accounts_mut() else {
            return;
        };
        for server in self.view.servers() {
            tracker.assign(&server.id, &server.service);
        }
    }
}

impl Cx {
    /// Logs that an account is over its share of a service, once until it has been within it.
    pub fn report_over_share(
        &self,
        service: &str,
        account: &str,
        usage: &account_shares::Usage,
        ratio: f64,
    ) {
        let now = self.now();
        let is_first = self
            .state()
            .over_share
            .record_refused(service, account, now);
        if is_first {
            log::emit(&event::Event::AccountOverShare {
                account,
                service,
                slots: usage.slots,
                prefill_ms: usage.prefill_ms.round(),
                share_ratio: (ratio * 100.0).round() / 100.0,
            });
        }
    }

    /// Logs the accounts that are within their shares again.
    pub fn report_within_share(&self) {
        let now = self.now();
        let ended = self.state().over_share.take_ended(now);
        for episode in ended {
            log::emit(&event::Event::AccountWithinShare {
                account: &episode.account,
                service: &episode.service,
                refused: episode.refused,
                lasted_ms: episode.lasted.as_millis(),
            });
        }
    }
}

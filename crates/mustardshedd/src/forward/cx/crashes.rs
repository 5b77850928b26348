//! Crashes of servers, and what is quarantined because of them.

use std::{sync, time};

use futures_util::{FutureExt, future};
use mustardshed::{
    core::{
        forward::{quarantine, repeated_crashes},
        ids,
    },
    wire::forward,
};

use crate::{
    forward::{cx::Cx, dial, exchange::content},
    log::{self, event},
};

/// Time from the first closed connection to the check, in which the others are noticed.
const COLLECTION_TIME: time::Duration = time::Duration::from_millis(20);
/// Time within which all entries hear of a crash, also through relays.
pub const REPORT_TIME: time::Duration = time::Duration::from_millis(60);

/// Completes when a check is done and a crash has been reported.
pub type CheckDone = future::Shared<future::BoxFuture<'static, ()>>;

/// A request that may have crashed a server.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Its prompt parts, if other requests may have them as well.
    pub parts: Option<quarantine::Suspect>,
    /// Its fingerprint.
    pub request: repeated_crashes::Fingerprint,
    /// When it was sent, if equal requests are usual.
    pub sent_at: Option<ids::Timestamp>,
}

impl Suspect {
    fn attempt(&self, crashed_at: ids::Timestamp) -> repeated_crashes::Attempt {
        let lasted = |sent_at: ids::Timestamp| crashed_at.saturating_sub(sent_at);
        repeated_crashes::Attempt {
            request: self.request,
            lasted: self.sent_at.map(lasted),
        }
    }
}

/// A check under way.
#[derive(Debug)]
pub struct Check {
    suspects: Vec<Suspect>,
    done: CheckDone,
}

impl Cx {
    /// Checks whether a server that failed a request before the first byte of its answer has
    /// crashed, unless a check is under way; the request counts in it. None if the server is not
    /// listed.
    pub fn check_for_crash(
        self: &sync::Arc<Self>,
        server: &str,
        suspect: Suspect,
    ) -> Option<CheckDone> {
        let mut state = self.state();
        let address = state.view.listed_server(server)?.address.clone();
        let check = state.crash_checks.entry(server.to_owned());
        let check = check.or_insert_with(|| {
            let check = run_check(sync::Arc::clone(self), server.to_owned(), address);
            let done = tokio::spawn(check).map(drop).boxed().shared();
            let suspects = Vec::new();
            Check { suspects, done }
        });
        check.suspects.push(suspect);
        Some(check.done.clone())
    }

    /// Records a crash with the requests of this entry that may have caused it, and tells the peers.
    fn report_crash(self: &sync::Arc<Self>, server: &str, suspects: Vec<Suspect>) {
        let now = self.now();
        let listed = self.state().view.listed_server(server).cloned();
        let started_unix_ms = listed.and_then(|listed| listed.started_unix_ms);
        let attempts = suspects.iter().map(|suspect| suspect.attempt(now));
        let attempts: Vec<repeated_crashes::Attempt> = attempts.collect();
        let parts = suspects.into_iter().filter_map(|suspect| suspect.parts);
        let parts: Vec<quarantine::Suspect> = parts.collect();
        self.peers.send(&forward::Message::Crashed {
            server: server.to_owned(),
            age_ms: 0,
            suspects: parts.iter().map(quarantine::Suspect::parts).collect(),
            requests: attempts.iter().copied().map(Into::into).collect(),
            started_unix_ms,
        });
        self.record_repeated_crash(repeated_crashes::Crash {
            server: server.to_owned(),
            started_unix_ms,
            at: now,
            attempts,
        });
        self.record_crash(quarantine::Crash {
            server: server.to_owned(),
            started_unix_ms,
            at: now,
            suspects: parts,
        });
    }

    /// Records under which requests a server has crashed, as this entry has noticed or a peer
    /// reports.
    pub fn record_repeated_crash(self: &sync::Arc<Self>, crash: repeated_crashes::Crash) {
        let now = self.now();
        let rejected = self.state().repeated_crashes.record_crash(crash, now);
        for request in &rejected {
            log::emit(&event::Event::RequestQuarantined {
                fingerprint: &request.to_string(),
            });
        }
        if !rejected.is_empty() {
            self.quarantined.notify_waiters();
            self.review_crashes();
        }
    }

    /// Records a crash that this entry has noticed or a peer reports.
    pub fn record_crash(self: &sync::Arc<Self>, crash: quarantine::Crash) {
        if crash.suspects.is_empty() {
            return;
        }
        let now = self.now();
        let findings = self.state().quarantine.record_crash(crash, now);
        self.apply_findings(findings);
    }

    /// Adopts what a peer has quarantined.
    pub fn adopt_quarantine(self: &sync::Arc<Self>, culprit: quarantine::Culprit) {
        let now = self.now();
        let findings = self.state().quarantine.adopt(culprit, now);
        self.apply_findings(findings);
    }

    /// Records that a server has begun to answer a request.
    pub fn record_answer(&self, content: &content::Content) {
        let (shared, now) = (content.shared_parts(), self.now());
        let parts = if shared.is_empty() {
            Vec::new()
        } else {
            self.state().quarantine.record_answer(shared, now)
        };
        let mut requests = Vec::new();
        if self.has_suspects() {
            let request = content.fingerprint();
            if self.state().repeated_crashes.record_answer(request, now) {
                requests.push(request.into());
            }
        }
        self.report_answered(parts, requests);
    }

    /// Returns whether a server has crashed under a request with this content.
    #[must_use]
    pub fn is_suspected(&self, content: &content::Content) -> bool {
        self.has_suspects() && {
            let request = content.fingerprint();
            self.state().repeated_crashes.is_suspected(request)
        }
    }

    /// Waits until all entries have heard of the last crash under a request with this content, so
    /// that none of them sends it on if it is repeated.
    pub async fn wait_until_reported(&self, content: &content::Content) {
        if self.has_suspects() {
            let last = self
                .state()
                .repeated_crashes
                .last_crash(content.fingerprint());
            let reported_at = last.unwrap_or_default() + REPORT_TIME;
            tokio::time::sleep(reported_at.saturating_sub(self.now())).await;
        }
    }

    fn has_suspects(&self) -> bool {
        !self.state().repeated_crashes.is_empty()
    }

    /// Returns how much longer requests with this content are rejected, once they are, or until their
    /// crashes are reviewed.
    pub async fn wait_until_quarantined(&self, content: &content::Content) -> time::Duration {
        loop {
            let changed = self.quarantined.notified();
            match self.quarantine_left(content) {
                Some(left) => return left,
                None => changed.await,
            }
        }
    }

    fn quarantine_left(&self, content: &content::Content) -> Option<time::Duration> {
        let mut left = self.rejected_for(content)?;
        if self.withdraw_crashes() {
            left = self.rejected_for(content)?;
        }
        let until_review = self.time_until_review(self.last_crash(content)?);
        Some(until_review.map_or(left, |until_review| left.min(until_review)))
    }

    fn last_crash(&self, content: &content::Content) -> Option<ids::Timestamp> {
        let state = self.state();
        let of_parts = state.quarantine.last_crash(content.shared_parts());
        if state.repeated_crashes.is_empty() {
            return of_parts;
        }
        of_parts.max(state.repeated_crashes.last_crash(content.fingerprint()))
    }

    fn rejected_for(&self, content: &content::Content) -> Option<time::Duration> {
        let now = self.now();
        let shared = content.shared_parts();
        let left = self.state().quarantine.remaining(shared, now);
        if left.is_some() || !self.has_suspects() {
            return left;
        }
        let request = content.fingerprint();
        self.state().repeated_crashes.remaining(request, now)
    }

    fn apply_findings(self: &sync::Arc<Self>, findings: quarantine::Findings) {
        self.report_answered(findings.sound, Vec::new());
        for parts in &findings.culprits {
            log::emit(&event::Event::PromptPartsQuarantined {
                parts: &parts.join(" "),
            });
        }
        if !findings.culprits.is_empty() {
            self.quarantined.notify_waiters();
            self.review_crashes();
        }
    }

    fn report_answered(&self, parts: Vec<ids::PromptPartId>, requests: Vec<u64>) {
        if !parts.is_empty() || !requests.is_empty() {
            self.peers.send(&forward::Message::Answered {
                parts,
                requests,
                age_ms: 0,
            });
        }
    }
}

/// Tries to connect to a server. Only a port that is closed for this entry and its peers shows that it
/// has ended: a server that is cut off does not answer, a path may refuse connections to a sound one,
/// and one that broke off a response accepts.
async fn run_check(cx: sync::Arc<Cx>, server: String, address: String) {
    tokio::time::sleep(COLLECTION_TIME).await;
    let checked = dial::check(&cx, &server, &address).await;
    let check = cx.state().crash_checks.remove(&server);
    let refused = checked.err().filter(|unreached| unreached.is_refused);
    if let (Some(check), Some(unreached)) = (check, refused) {
        cx.eject_unreached(&server, &unreached);
        if unreached.is_confirmed {
            log_crash(&server, &check.suspects);
            cx.report_crash(&server, check.suspects);
        }
    }
}

fn log_crash(server: &str, suspects: &[Suspect]) {
    let parts = suspects.iter().filter_map(|suspect| suspect.parts.as_ref());
    let parts = parts.map(|parts| parts.shared.join(" "));
    let fingerprints = suspects.iter().map(|suspect| suspect.request.to_string());
    log::emit(&event::Event::ServerCrashed {
        server,
        requests: suspects.len(),
        parts: &parts.collect::<Vec<_>>().join(", "),
        fingerprints: &fingerprints.collect::<Vec<_>>().join(" "),
    });
}

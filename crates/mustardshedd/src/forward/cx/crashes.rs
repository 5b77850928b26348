//! Crashes of servers, and the prompt parts that are quarantined because of them.

use std::{io, sync, time};

use mustardshed::{
    core::{forward::quarantine, ids},
    wire::forward,
};
use tokio::net;

use crate::{
    forward::cx::Cx,
    log::{self, event},
};

/// Time from the first closed connection to the check, in which the others are noticed.
const COLLECTION_TIME: time::Duration = time::Duration::from_millis(20);
/// Longest wait for a server to accept or refuse a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

impl Cx {
    /// Checks whether a server that failed a request before the first byte of its answer has
    /// crashed, unless a check is under way; the request counts in it.
    pub fn check_for_crash(self: &sync::Arc<Self>, server: &str, suspect: quarantine::Suspect) {
        let mut state = self.state();
        let Some(listed) = state.view.listed_server(server) else {
            return;
        };
        let address = listed.address.clone();
        let suspects = state.crash_checks.entry(server.to_owned()).or_default();
        suspects.push(suspect);
        if suspects.len() == 1 {
            let check = run_check(sync::Arc::clone(self), server.to_owned(), address);
            tokio::spawn(check);
        }
    }

    /// Records a crash with the requests of this entry that may have caused it, and tells the peers.
    fn report_crash(&self, server: &str, suspects: Vec<quarantine::Suspect>) {
        let now = self.now();
        let parts = suspects.iter().map(quarantine::Suspect::parts).collect();
        self.peers.send(&forward::Message::Crashed {
            server: server.to_owned(),
            age_ms: 0,
            suspects: parts,
        });
        self.record_crash(quarantine::Crash {
            server: server.to_owned(),
            at: now,
            suspects,
        });
    }

    /// Records a crash that this entry has noticed or a peer reports.
    pub fn record_crash(&self, crash: quarantine::Crash) {
        let now = self.now();
        let findings = self.state().quarantine.record_crash(crash, now);
        self.apply_findings(findings);
    }

    /// Adopts what a peer has quarantined.
    pub fn adopt_quarantine(&self, culprit: quarantine::Culprit) {
        let now = self.now();
        let findings = self.state().quarantine.adopt(culprit, now);
        self.apply_findings(findings);
    }

    /// Records that a server has begun to answer a request with these shared prompt parts.
    pub fn record_answer(&self, shared: &[ids::PromptPartId]) {
        if shared.is_empty() {
            return;
        }
        let now = self.now();
        let cleared = self.state().quarantine.record_answer(shared, now);
        self.report_answered(cleared);
    }

    /// Returns how much longer requests with these shared prompt parts are rejected, once they are.
    pub async fn wait_until_quarantined(&self, shared: &[ids::PromptPartId]) -> time::Duration {
        loop {
            let changed = self.quarantined.notified();
            let now = self.now();
            let left = self.state().quarantine.remaining(shared, now);
            match left {
                Some(left) => return left,
                None => changed.await,
            }
        }
    }

    fn apply_findings(&self, findings: quarantine::Findings) {
        self.report_answered(findings.sound);
        for parts in &findings.culprits {
            log::emit(&event::Event::PromptPartsQuarantined {
                parts: &parts.join(" "),
            });
        }
        if !findings.culprits.is_empty() {
            self.quarantined.notify_waiters();
        }
    }

    fn report_answered(&self, parts: Vec<ids::PromptPartId>) {
        if !parts.is_empty() {
            let message = forward::Message::Answered { parts, age_ms: 0 };
            self.peers.send(&message);
        }
    }
}

/// Tries to connect to a server. Only a closed port shows that it has ended: a server that is cut
/// off does not answer, and one that broke off a response accepts.
async fn run_check(cx: sync::Arc<Cx>, server: String, address: String) {
    tokio::time::sleep(COLLECTION_TIME).await;
    let connecting = net::TcpStream::connect(&address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let is_down = matches!(connected, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused);
    let suspects = cx.state().crash_checks.remove(&server);
    if let Some(suspects) = suspects.filter(|_| is_down) {
        log_crash(&server, &suspects);
        cx.report_unreachable(&server);
        cx.report_crash(&server, suspects);
    }
}

fn log_crash(server: &str, suspects: &[quarantine::Suspect]) {
    let parts = suspects.iter().map(|suspect| suspect.shared.join(" "));
    log::emit(&event::Event::ServerCrashed {
        server,
        requests: suspects.len(),
        parts: &parts.collect::<Vec<_>>().join(", "),
    });
}

//! What this entry learns of servers from their responses and failures, and tells its peers.

use std::{sync, time};

use mustardshed::{
    core::{forward::head, ids},
    wire::forward,
};

use crate::{
    forward::{cx::Cx, dial},
    log::{self, event},
};

/// How a server failed a request before the head of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Symptom {
    /// The connection broke.
    Broken,
    /// Nothing came in time.
    Silent,
}

impl Cx {
    /// Records that a server could not be reached, and tells the peers.
    pub fn report_unreachable(&self, server: &str) {
        self.eject(server, &self.settings.vm);
        self.peers.send(&forward::Message::Unreachable {
            server: server.to_owned(),
        });
    }

    /// Ejects a server for a while, because the entry on `reported_by` could not reach it.
    pub fn eject(&self, server: &str, reported_by: &str) {
        let now = self.now();
        let ejected = self
            .state()
            .loads
            .health_mut(server)
            .record_unreachable(now);
        if let Some(ejected_for) = ejected {
            let is_own = reported_by == self.settings.vm;
            self.metrics.ejected(if is_own { "own" } else { "peer" });
            log::emit(&event::Event::ServerEjected {
                server,
                reported_by,
                for_ms: ejected_for.as_millis(),
            });
        }
    }

    /// Ejects a server to which no way leads. The peers are told if one of them does not reach it
    /// either, or if there is none that could.
    pub fn eject_unreached(&self, server: &str, unreached: &dial::Unreached) {
        if unreached.is_confirmed {
            self.report_unreachable(server);
        } else {
            self.eject(server, &self.settings.vm);
        }
    }

    /// Checks whether a server can be reached that failed a request sent at `sent_at`. One that cannot
    /// be reached is ejected, and so is one that is silent though this entry reaches it.
    pub fn check_reachable(
        self: &sync::Arc<Self>,
        server: &str,
        sent_at: ids::Timestamp,
        symptom: Symptom,
    ) {
        let address = {
            let mut state = self.state();
            let listed = state.view.listed_server(server);
            let Some(address) = listed.map(|server| server.address.clone()) else {
                return;
            };
            if !state.reach_checks.insert(server.to_owned()) {
                return;
            }
            address
        };
        let (cx, server) = (sync::Arc::clone(self), server.to_owned());
        tokio::spawn(async move {
            let checked = dial::check(&cx, &server, &address).await;
            cx.state().reach_checks.remove(&server);
            match checked {
                Err(unreached) => cx.eject_unreached(&server, &unreached),
                // What was silent may have been the path.
                Ok(true) if symptom == Symptom::Silent && !cx.has_bypassed_since(sent_at) => {
                    cx.report_unreachable(&server);
                }
                Ok(_) => {}
            }
        });
    }

    /// Applies what a server's response says about the server itself, whatever its status.
    pub fn observe_response(&self, server: &str, head: &head::ResponseHead) {
        // The response came from another server than the intended one.
        if head.is_misdirected {
            return;
        }
        if head.is_leaving {
            self.report_leaving(server);
        }
        match &head.back_off {
            Some(head::BackOff::For(wait)) => self.apply_back_off(server, *wait),
            Some(head::BackOff::Invalid(value)) => {
                log::emit(&event::Event::BackOffNotUnderstood { server, value });
            }
            None => {}
        }
        match &head.rate_limit {
            Some(head::RateLimit::PerSecond(per_s)) => self.apply_rate_limit(server, *per_s),
            Some(head::RateLimit::Invalid(value)) => {
                log::emit(&event::Event::RateLimitNotUnderstood { server, value });
            }
            None => {}
        }
    }

    /// Records the rate limit that a server advertises, in requests per second.
    fn apply_rate_limit(&self, server: &str, per_s: f64) {
        let now = self.now();
        if self.state().advertised_limits.record(server, per_s, now) {
            log::emit(&event::Event::RateLimitAdvertised { server, per_s });
            self.report_rate_limit(server, Some(per_s));
        }
    }

    /// Tells the peers the rate limit of a server; none if there is none any more.
    fn report_rate_limit(&self, server: &str, per_s: Option<f64>) {
        self.peers.send(&forward::Message::RateLimit {
            server: server.to_owned(),
            per_s,
            age_ms: 0,
        });
    }

    /// Records a successful response of a server without a rate limit.
    pub fn observe_unlimited_response(&self, server: &str) {
        let now = self.now();
        if self.state().advertised_limits.record_none(server, now) {
            log::emit(&event::Event::RateLimitEnded { server });
            self.report_rate_limit(server, None);
        }
    }

    /// Records that a server is shutting down, and tells the peers.
    fn report_leaving(&self, server: &str) {
        let now = self.now();
        let mut state = self.state();
        let born = state
            .view
            .listed_server(server)
            .and_then(|server| server.started_unix_ms);
        let is_new = state.notices.record_leaving(server, born, now);
        drop(state);
        if is_new {
            log::emit(&event::Event::ServerLeaving { server });
            self.peers.send(&forward::Message::Leaving {
                server: server.to_owned(),
                started_unix_ms: born,
            });
        }
    }

    /// Records that a server wants no requests from this entry for a while; it may accept those of
    /// other entries.
    fn apply_back_off(&self, server: &str, wait: time::Duration) {
        let now = self.now();
        let applied = self.state().notices.record_back_off(server, wait, now);
        log::emit(&event::Event::BackedOff {
            server,
            wait_ms: applied.as_millis(),
            asked_ms: wait.as_millis(),
        });
    }

    /// Records that a server is cold for another `left`, and tells the peers if that is new.
    pub fn report_cold(&self, server: &str, left: time::Duration) {
        let now = self.now();
        let mut state = self.state();
        let health = state.loads.health_mut(server);
        let was_cold = health.is_cold(now);
        health.set_cold(now + left);
        drop(state);
        if !was_cold && !left.is_zero() {
            self.peers.send(&forward::Message::Cold {
                server: server.to_owned(),
                left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            });
        }
    }
}

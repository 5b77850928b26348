//! Log lines and metrics of a request.

use std::sync::atomic;

use mustardshed::core::forward::{account_shares, placement};

use crate::{
    forward::{
        exchange::{dispatch::Dispatch, streaming},
        upstream,
    },
    log::{self, event},
};

impl Dispatch {
    /// Logs that the request ends before its response: its client has left, or the process ends.
    pub(super) fn log_dropped(&self) {
        let cx = &self.req.cx;
        let streaming = self.last_event != self.req.head.last_event_id;
        let stage = if streaming {
            "streaming".to_owned()
        } else {
            self.stage.to_string()
        };
        let (request, route) = (self.req.id(), self.req.route.name.as_str());
        let server = self.tried.last().map_or("", String::as_str);
        let elapsed_ms = cx.now().saturating_sub(self.req.arrived_at).as_millis();
        log::emit(&if cx.is_exiting() {
            event::Event::ForwardCut {
                request,
                route,
                stage: &stage,
                server,
                elapsed_ms,
            }
        } else {
            event::Event::ForwardCancelled {
                request,
                route,
                stage: &stage,
                server,
                elapsed_ms,
            }
        });
    }

    /// Logs where an attempt was placed while `running` others continue.
    pub(super) fn log_placed(&self, placed: &placement::Placed, running: u32) {
        let now = self.req.cx.now();
        let (arrivals, cold_left) = {
            let loads = &self.req.cx.state().loads;
            let health = loads.health(&placed.primary);
            let arrivals = loads.recent_arrivals(&placed.primary, now);
            (arrivals, health.cold_left(now))
        };
        log::emit(&event::Event::ForwardPlaced {
            request: self.req.id(),
            route: &self.req.route.name,
            version: self.req.routes.version,
            server: &placed.primary,
            helpers: &helpers(placed),
            held_tokens: placed.helpers.iter().map(|helper| helper.held_tokens).sum(),
            prompt_tokens: self.req.head.prompt_tokens.unwrap_or_default(),
            part_ms: placed.shard_ms.round(),
            estimate_ms: placed.estimate_ms.round(),
            price: (placed.cost * 100.0).round() / 100.0,
            attempt: self.attempts.count() + running + 1,
            arrivals,
            cold_ms: cold_left.as_millis(),
        });
    }

    pub(in crate::forward::exchange) fn log_failed(
        &self,
        server: &str,
        outcome: &str,
        reason: &str,
        will_retry: bool,
    ) {
        self.req.cx.metrics.attempt(outcome);
        log::emit(&event::Event::ForwardAttemptFailed {
            request: self.req.id(),
            server,
            outcome,
            reason,
            next: if will_retry { "try_again" } else { "give_up" },
        });
    }

    /// Counts and logs an attempt that broke off, if that is because its response is invalid.
    pub(in crate::forward::exchange) fn record_invalid(
        &self,
        server: &str,
        broken: &upstream::Broken,
    ) {
        let Some(invalid) = broken.invalid else {
            return;
        };
        self.req.cx.metrics.invalid_response("request", invalid);
        log::emit(&event::Event::ResponseInvalid {
            request: self.req.id(),
            server,
            problem: &invalid.to_string(),
        });
    }

    pub(super) fn log_not_placed(&self, e: &placement::NotPlaced) {
        if let placement::NotPlaced::OverShare { usage, ratio, .. } = e {
            return self.log_over_share(usage, *ratio);
        }
        let (price, weight, estimate_ms) = match e {
            placement::NotPlaced::TooCostly {
                cost: price,
                weight,
                ..
            } => (*price, *weight, 0.0),
            placement::NotPlaced::TooLate { estimate_ms, .. } => (0.0, 0.0, *estimate_ms),
            placement::NotPlaced::NoServer
            | placement::NotPlaced::Full { .. }
            | placement::NotPlaced::BackedOff { .. }
            | placement::NotPlaced::WouldCut { .. }
            | placement::NotPlaced::OverShare { .. } => (0.0, 0.0, 0.0),
        };
        log::emit(&event::Event::ForwardNotPlaced {
            request: self.req.id(),
            route: &self.req.route.name,
            reason: &e.to_string(),
            prompt_tokens: self.req.head.prompt_tokens.unwrap_or_default(),
            price: (price * 100.0).round() / 100.0,
            weight: (weight * 100.0).round() / 100.0,
            estimate_ms: estimate_ms.round(),
            attempt: self.attempts.count() + 1,
        });
    }

    /// Returns the name of the request's account, if it has one.
    pub(super) fn account(&self) -> Option<&str> {
        let account = self.req.account.as_ref();
        account.map(|account| account.name.as_str())
    }

    fn log_over_share(&self, usage: &account_shares::Usage, ratio: f64) {
        let account = self.account().unwrap_or_default();
        let cx = &self.req.cx;
        cx.report_over_share(&self.service.name, account, usage, ratio);
        log::emit(&event::Event::ForwardOverShare {
            request: self.req.id(),
            route: &self.req.route.name,
            account,
            service: &self.service.name,
            slots: usage.slots,
            prefill_ms: usage.prefill_ms.round(),
            share_ratio: (ratio * 100.0).round() / 100.0,
        });
    }

    /// Counts and logs the end of the request.
    pub(in crate::forward::exchange) fn record_end(
        &self,
        outcome: &str,
        status: u16,
        server: &str,
        timing: &streaming::Timing,
    ) {
        self.is_ended.store(true, atomic::Ordering::Relaxed);
        let now = self.req.cx.now();
        let elapsed = now.saturating_sub(self.req.arrived_at);
        let route_kind = self.req.route.kind;
        let metrics = &self.req.cx.metrics;
        metrics.ended(route_kind, outcome, timing.first, elapsed);
        log::emit(&event::Event::ForwardEnded {
            request: self.req.id(),
            route: &self.req.route.name,
            outcome,
            status,
            server,
            events: timing.events,
            first_ms: timing.first.unwrap_or_default().as_millis(),
            longest_gap_ms: timing.longest_gap.as_millis(),
            elapsed_ms: elapsed.as_millis(),
        });
    }
}

fn helpers(placed: &placement::Placed) -> String {
    let helpers = placed.helpers.iter().map(|helper| helper.server.as_str());
    helpers.collect::<Vec<_>>().join(",")
}

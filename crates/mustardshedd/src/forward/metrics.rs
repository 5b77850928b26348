//! Metrics of a forwarding entry, in the Prometheus text format.

use std::time;

use mustardshed::{
    core::{
        forward::{client_limits, hedging, response_check, routes},
        ids,
    },
    platform::{call_counts, topic},
    wire::forward::tunnel,
};
use prometheus::{Encoder, core};

use crate::{
    forward::{cx, refusal},
    log,
};

mod accounts;

pub mod read_ahead;

/// Prefix of the names of all metrics.
const NAMESPACE: &str = "mustardshed";
/// Path on which the metrics are served.
pub const PATH: &str = "/metrics";

/// Bucket bounds of the latency histograms, in seconds: from the usual time of a call to the
/// longest of a stream.
const SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    ended: prometheus::IntCounterVec,
    refused: prometheus::IntCounterVec,
    attempts: prometheus::IntCounterVec,
    hedges_sent: prometheus::IntCounterVec,
    hedges_won: prometheus::IntCounterVec,
    hedges_denied: prometheus::IntCounterVec,
    invalid_responses: prometheus::IntCounterVec,
    ejections: prometheus::IntCounterVec,
    first_event: prometheus::HistogramVec,
    duration: prometheus::HistogramVec,
    store_calls: prometheus::IntGaugeVec,
    servers: prometheus::IntGaugeVec,
    memory: prometheus::IntGaugeVec,
    connections: prometheus::IntCounterVec,
    tunnels: prometheus::IntCounterVec,
    bypassed: prometheus::IntGauge,
    named: prometheus::IntGauge,
    members: prometheus::IntGauge,
    version: prometheus::IntGauge,
    superseded: prometheus::IntGauge,
    undecoded_parts: prometheus::IntGauge,
    buffer_limit: prometheus::IntGauge,
    buffers: prometheus::IntGauge,
    clients: prometheus::IntGaugeVec,
    clients_closed: prometheus::IntCounterVec,
    clients_refused: prometheus::IntCounterVec,
    age: prometheus::GaugeVec,
    lost_log_lines: prometheus::IntGaugeVec,
    accounts: accounts::Accounts,
    /// Metrics of streams that are read ahead of their clients.
    pub read_ahead: read_ahead::ReadAhead,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name or a label is invalid or registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let registry = prometheus::Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let opts = prometheus::Opts::new(name, help).namespace(NAMESPACE);
            register(&registry, prometheus::IntCounterVec::new(opts, labels)?)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let opts = prometheus::Opts::new(name, help).namespace(NAMESPACE);
            register(&registry, prometheus::IntGaugeVec::new(opts, labels)?)
        };
        let gauge = |name: &str, help: &str| {
            let opts = prometheus::Opts::new(name, help).namespace(NAMESPACE);
            register(&registry, prometheus::IntGauge::with_opts(opts)?)
        };
        let histograms = |name: &str, help: &str| {
            let opts = prometheus::HistogramOpts::new(name, help)
                .namespace(NAMESPACE)
                .buckets(SECONDS.to_vec());
            register(&registry, prometheus::HistogramVec::new(opts, &["kind"])?)
        };
        let age =
            prometheus::Opts::new("read_age_seconds", "Age of the data read from the platform")
                .namespace(NAMESPACE);
        let age = register(&registry, prometheus::GaugeVec::new(age, &["kind"])?)?;
        Ok(Self {
            ended: counters(
                "requests_total",
                "Requests that a server answered",
                &["kind", "outcome"],
            )?,
            refused: counters(
                "refusals_total",
                "Requests that this entry refused or gave up",
                &["reason"],
            )?,
            attempts: counters(
                "attempts_total",
                "Attempts to send requests to servers",
                &["outcome"],
            )?,
            hedges_sent: counters(
                "hedges_sent_total",
                "Second attempts that were sent while the first continued",
                &["kind"],
            )?,
            hedges_won: counters(
                "hedges_won_total",
                "Requests with a second attempt, by the attempt whose response was passed on",
                &["attempt"],
            )?,
            hedges_denied: counters(
                "hedges_denied_total",
                "Second attempts that were due and not sent, by the limit that forbade them",
                &["limit"],
            )?,
            invalid_responses: counters(
                "invalid_responses_total",
                "Invalid responses of servers, by what asked for them",
                &["source", "problem"],
            )?,
            ejections: counters(
                "ejections_total",
                "Servers that this entry ejected, by whose failure it was",
                &["source"],
            )?,
            connections: counters(
                "server_connections_total",
                "Connections to servers by this entry itself and through peers",
                &["path"],
            )?,
            tunnels: counters(
                "tunnels_total",
                "Connections to servers that peers asked for",
                &["result"],
            )?,
            bypassed: gauge(
                "bypassed_paths",
                "Servers that only peers have reached for this entry lately",
            )?,
            named: gauge("named_entries", "Entries that callers are told to use")?,
            first_event: histograms("first_event_seconds", "Time to the first event of a stream")?,
            duration: histograms("request_seconds", "Time to the end of a response")?,
            store_calls: gauges(
                "store_calls",
                "Calls on the platform's store since the start",
                &["purpose"],
            )?,
            servers: gauges(
                "server_requests",
                "Requests in flight at a server, of all entries",
                &["server"],
            )?,
            memory: gauges(
                "server_memory_tokens",
                "Memory in use at an engine by requests of all entries",
                &["server"],
            )?,
            members: gauge("members", "Live entries, including this one")?,
            version: gauge("configuration_version", "Configuration version in force")?,
            superseded: gauge(
                "configuration_superseded",
                "Whether a configuration that cannot be decoded has replaced the one in force",
            )?,
            undecoded_parts: gauge(
                "configuration_undecoded_parts",
                "Parts of the configuration in force that cannot be decoded",
            )?,
            buffer_limit: gauge(
                "buffer_limit_bytes",
                "Most memory that may be held for what others send",
            )?,
            buffers: gauge("buffer_bytes", "Memory held for what others send")?,
            clients: gauges(
                "client_connections",
                "Connections of clients, of all, without a completed request, and at most",
                &["state"],
            )?,
            clients_closed: counters(
                "client_connections_closed_total",
                "Connections of clients closed for a limit",
                &["limit"],
            )?,
            clients_refused: counters(
                "client_connections_refused_total",
                "Connections of clients not accepted for a limit",
                &["limit"],
            )?,
            age,
            lost_log_lines: gauges(
                "log_lines_lost",
                "Log lines that were not written since the start",
                &["reason"],
            )?,
            accounts: accounts::Accounts::new(&registry)?,
            read_ahead: read_ahead::ReadAhead::new(&registry)?,
            registry,
        })
    }

    /// Counts the end of a request that a server answered, with the times to its first event and to
    /// its end.
    pub fn ended(
        &self,
        route_kind: routes::RouteKind,
        outcome: &str,
        first: Option<time::Duration>,
        elapsed: time::Duration,
    ) {
        let kind = kind(route_kind);
        self.ended.with_label_values(&[kind, outcome]).inc();
        if let Some(first) = first {
            let histogram = self.first_event.with_label_values(&[kind]);
            histogram.observe(first.as_secs_f64());
        }
        self.duration
            .with_label_values(&[kind])
            .observe(elapsed.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn refused(&self, refusal: refusal::Refusal) {
        self.refused.with_label_values(&[refusal.code()]).inc();
    }

    /// Counts an attempt by how it ended.
    pub fn attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Counts a second attempt that was sent.
    pub fn hedged(&self, route_kind: routes::RouteKind) {
        self.hedges_sent
            .with_label_values(&[kind(route_kind)])
            .inc();
    }

    /// Counts a request with a second attempt, by the attempt whose response was passed on.
    pub fn hedge_won(&self, won: hedging::Attempt) {
        self.hedges_won.with_label_values(&[won.code()]).inc();
    }

    /// Counts a second attempt that was due and not sent.
    pub fn hedge_denied(&self, denied: hedging::Denied) {
        self.hedges_denied.with_label_values(&[denied.code()]).inc();
    }

    /// Counts an invalid response of a server to a request, or to this entry itself.
    pub fn invalid_response(&self, source: &str, invalid: response_check::Invalid) {
        let labels = [source, invalid.code()];
        self.invalid_responses.with_label_values(&labels).inc();
    }

    /// Counts a server that was ejected after a failure of this entry's own or of a peer.
    pub fn ejected(&self, source: &str) {
        self.ejections.with_label_values(&[source]).inc();
    }

    /// Counts a connection to a server, by this entry itself or through a peer.
    pub fn connected(&self, is_direct: bool) {
        let path = if is_direct { "direct" } else { "peer" };
        self.connections.with_label_values(&[path]).inc();
    }

    /// Counts a connection that a peer asked for.
    pub fn tunnel(&self, reply: tunnel::Reply) {
        let result = match reply {
            tunnel::Reply::Connected => "connected",
            tunnel::Reply::Refused => "refused",
            tunnel::Reply::Unreachable => "unreachable",
            tunnel::Reply::Unavailable => "unavailable",
        };
        self.tunnels.with_label_values(&[result]).inc();
    }

    /// Counts a connection of a client that is closed, or not accepted, for a limit.
    pub fn client_limited(&self, limit: client_limits::Limit, is_refused: bool) {
        let counters = if is_refused {
            &self.clients_refused
        } else {
            &self.clients_closed
        };
        counters.with_label_values(&[limit.as_str()]).inc();
    }

    /// Sets the numbers of connections of clients: all, those without a completed request, and the
    /// most there may be.
    pub fn client_connections(&self, open: usize, incomplete: usize, max: usize) {
        for (state, count) in [("open", open), ("incomplete", incomplete), ("max", max)] {
            let gauge = self.clients.with_label_values(&[state]);
            gauge.set(signed(count as u64));
        }
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if they cannot be encoded.
    pub fn encode(&self, cx: &cx::Cx) -> prometheus::Result<Vec<u8>> {
        self.update_gauges(cx);
        let mut buf = Vec::new();
        prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }

    /// Sets the gauges to the current values.
    fn update_gauges(&self, cx: &cx::Cx) {
        self.update_calls(cx.platform.calls());
        let lost = log::lost_counts();
        for (reason, lines) in [("budget", lost.thinned), ("queue", lost.dropped)] {
            self.lost_log_lines
                .with_label_values(&[reason])
                .set(signed(lines));
        }
        self.named.set(signed(cx.fronts().len() as u64));
        self.buffer_limit.set(signed(cx.memory.limit() as u64));
        self.buffers.set(signed(cx.memory.held() as u64));
        let now = cx.now();
        let state = cx.state();
        self.bypassed.set(signed(state.paths.bypassed() as u64));
        let alive = state.live_entries.alive_count(now) + 1;
        self.members.set(signed(alive as u64));
        let routes = state.view.routes();
        self.version
            .set(signed(routes.map_or(0, |routes| routes.version)));
        let problems = routes.map_or(0, |routes| routes.undecoded().problems.len());
        self.undecoded_parts.set(signed(problems as u64));
        let is_superseded = state.view.is_configuration_superseded();
        self.superseded.set(i64::from(is_superseded));
        for topic in topic::Topic::ALL {
            if let Some(age) = state.view.age(topic, now) {
                let gauge = self.age.with_label_values(&[topic.purpose().as_str()]);
                gauge.set(age.as_secs_f64());
            }
        }
        self.accounts.update(&state);
        self.servers.reset();
        self.memory.reset();
        for server in state.view.servers() {
            self.update_server(&state, &server.id, now);
        }
    }

    fn update_server(&self, state: &cx::State, server: &str, now: ids::Timestamp) {
        let load = state.loads.load(server, now);
        let requests = self.servers.with_label_values(&[server]);
        requests.set(signed(load.primary_jobs.len() as u64));
        let memory = self.memory.with_label_values(&[server]);
        memory.set(signed(load.memory_tokens));
    }

    fn update_calls(&self, calls: call_counts::CallCounts) {
        let by_purpose = [
            ("configuration", calls.configuration),
            ("members", calls.members),
            ("outages", calls.outages),
            ("servers", calls.servers),
        ];
        for (purpose, count) in by_purpose {
            self.store_calls
                .with_label_values(&[purpose])
                .set(signed(count));
        }
    }
}

fn register<C: core::Collector + Clone + 'static>(
    registry: &prometheus::Registry,
    collector: C,
) -> prometheus::Result<C> {
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

const fn kind(route_kind: routes::RouteKind) -> &'static str {
    match route_kind {
        routes::RouteKind::Idempotent => "idempotent",
        routes::RouteKind::NonIdempotent => "once",
        routes::RouteKind::Stream => "stream",
        routes::RouteKind::ResumableStream => "resumable_stream",
    }
}

fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

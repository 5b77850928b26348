//! The daemon from its start to its planned stop.

use std::{io, net, sync, time};

use displaydoc::Display;
use mustardshed::{
    config::settings,
    core::{
        boundary::{clock, control as boundary},
        process::{drain, node},
    },
    platform::client,
};
use tokio::runtime;

use crate::{
    connection::backend_server as engine,
    http::{cx, server},
    log::{self, core_events, event, metrics},
    process::{claims::sweeper, clock as boot, control, gauges, operator, signals, startup},
    request,
};

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Longest wait, once all requests have ended, for the records of claimed requests; the attempts
/// to write one record end sooner.
const RECORD_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Interval between checks whether to leave and whether all work is done.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Why the daemon could not run.
#[derive(Debug, Display)]
pub enum ServiceError {
    /// cannot listen on {0}: {1}
    Listen(net::SocketAddr, io::Error),
    /// cannot start a thread or a runtime: {0}
    Runtime(io::Error),
    /// cannot use the platform: {0}
    Platform(client::OpenError),
    /// cannot send metrics to {0}: {1}
    Metrics(net::SocketAddr, io::Error),
}

impl std::error::Error for ServiceError {}

/// Runs the daemon until a planned stop has ended.
///
/// # Errors
///
/// Returns an error if it cannot start.
pub fn run(loaded: startup::LoadedSettings) -> Result<(), ServiceError> {
    log::open(loaded.settings.log_level);
    let rt = runtime::Builder::new_multi_thread()
        .worker_threads(loaded.settings.limits.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(ServiceError::Runtime)?;
    rt.block_on(serve(loaded))
}

async fn serve(loaded: startup::LoadedSettings) -> Result<(), ServiceError> {
    let settings = &loaded.settings;
    let signals = signals::Signals::open().map_err(ServiceError::Runtime)?;
    let platform = client::Client::open(&settings.platform, &settings.vm, PLATFORM_TIMEOUT)
        .map_err(ServiceError::Platform)?;
    let platform = sync::Arc::new(platform);
    let parts = parts(&loaded, sync::Arc::clone(&platform));
    let peer_listener = listen(settings.peer_listen)?;
    let handle = control::spawn(parts.clone(), peer_listener).map_err(ServiceError::Runtime)?;
    let handle = sync::Arc::new(handle);
    let operator =
        operator::Operator::new(handle.clone(), platform.clone(), loaded.operator_key_digest);
    let operator = sync::Arc::new(operator);
    let metrics = metrics(settings)?;
    gauges::spawn(metrics.clone(), operator.clone());
    let requests = requests(settings, &parts, handle.clone(), metrics);
    let cx = cx::Cx::new(requests, operator, settings.limits);
    let requests = sync::Arc::clone(&cx.requests);
    let server = server::bind(settings.listen, sync::Arc::new(cx))
        .await
        .map_err(|e| ServiceError::Listen(settings.listen, e))?;
    tokio::spawn(report_in_flight(handle.clone(), requests));
    sweeper::spawn(&handle, platform);
    run_until_stopped(&parts, server, &handle, signals).await
}

/// Creates the dependencies of the control thread.
fn parts(loaded: &startup::LoadedSettings, platform: sync::Arc<client::Client>) -> control::Parts {
    let servers = engine::open(engine::Timeouts::default());
    control::Parts {
        identity: identity(&loaded.settings),
        seed: rand::random(),
        clock: sync::Arc::new(boot::BootClock),
        platform,
        servers: sync::Arc::new(servers),
        peer_key: sync::Arc::clone(&loaded.peer_key),
        log: core_events::emit,
    }
}

/// Creates the shared state of the requests.
fn requests(
    settings: &settings::Settings,
    parts: &control::Parts,
    control: sync::Arc<dyn boundary::Control>,
    metrics: metrics::Metrics,
) -> request::cx::Cx {
    let requests = request::cx::Cx::new(
        control,
        sync::Arc::clone(&parts.servers),
        sync::Arc::clone(&parts.clock),
        metrics,
        settings.limits.max_in_flight,
        rand::random(),
    );
    requests.routing(settings.routing)
}

/// Logs the start, waits until this entry is to leave, drains it and logs the end.
async fn run_until_stopped(
    parts: &control::Parts,
    server: server::Server,
    handle: &control::Handle,
    signals: signals::Signals,
) -> Result<(), ServiceError> {
    let identity = &parts.identity;
    log::emit(&event::Event::Started {
        vm: &identity.vm,
        incarnation: identity.incarnation,
        data_centre: &identity.data_centre,
    });
    wait_for_leave(handle, signals).await;
    stop(server, parts.clock.as_ref(), handle).await;
    log::emit(&event::Event::Stopped {
        vm: &identity.vm,
        incarnation: identity.incarnation,
    });
    Ok(())
}

fn metrics(settings: &settings::Settings) -> Result<metrics::Metrics, ServiceError> {
    match settings.metrics {
        None => Ok(metrics::Metrics::disabled()),
        Some(addr) => metrics::Metrics::open(addr).map_err(|e| ServiceError::Metrics(addr, e)),
    }
}

fn identity(settings: &settings::Settings) -> node::Identity {
    node::Identity {
        vm: settings.vm.clone(),
        incarnation: incarnation(),
        data_centre: settings.data_centre.clone(),
        address: settings.advertise.to_string(),
        peer_address: settings.advertise_peer.to_string(),
    }
}

/// Returns the start time in milliseconds since the Unix epoch, so that it grows with each restart.
fn incarnation() -> u64 {
    let now = time::SystemTime::now();
    let since = now.duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn listen(addr: net::SocketAddr) -> Result<net::TcpListener, ServiceError> {
    let listener = net::TcpListener::bind(addr).map_err(|e| ServiceError::Listen(addr, e))?;
    listener
        .set_nonblocking(true)
        .map_err(|e| ServiceError::Listen(addr, e))?;
    Ok(listener)
}

/// Waits for SIGTERM, SIGINT, or the platform's notice that this VM leaves, then starts to leave.
async fn wait_for_leave(handle: &control::Handle, mut signals: signals::Signals) {
    tokio::select! {
        () = wait_for_order_to_stop(&mut signals) => {}
        () = wait_until_leaving(handle) => {}
    }
    handle.leave();
}

/// Waits for an order to stop. Changed settings take effect at the next start.
async fn wait_for_order_to_stop(signals: &mut signals::Signals) {
    while signals.recv().await != signals::Order::Stop {}
}

async fn wait_until_leaving(handle: &control::Handle) {
    while !boundary::Control::snapshot(handle).leaving {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Reports to the control thread how many requests are in flight, for as long as the process runs.
async fn report_in_flight(
    handle: sync::Arc<control::Handle>,
    requests: sync::Arc<request::cx::Cx>,
) {
    loop {
        handle.report_in_flight(requests.in_flight(), requests.max_in_flight());
        tokio::time::sleep(node::HEARTBEAT_INTERVAL).await;
    }
}

/// Accepts requests until no caller's list names this entry any more, then drains it.
async fn stop(server: server::Server, clock: &dyn clock::Clock, handle: &control::Handle) {
    let drain = drain::Drain::begin(clock.now());
    while drain.accepts(clock.now()) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    server.begin_drain();
    while !drain.may_exit(clock.now(), server.in_flight()) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let (fates, claims) = tokio::join!(
        server.wait_for_settlements(RECORD_TIMEOUT),
        handle.wait_for_claims(RECORD_TIMEOUT)
    );
    if fates + claims > 0 {
        log::emit(&event::Event::RecordsGivenUp { fates, claims });
    }
    server.shutdown().await;
}

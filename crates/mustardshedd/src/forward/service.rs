//! A forwarding entry, from its start to the end of its planned stop.

use std::{fs, io, net, path, sync, thread, time};

use displaydoc::Display;
use futures_util::future;
use mustardshed::{
    config::{forwarding, problem},
    core::{
        boundary::clock,
        forward::{pauses, planned_stop},
        ids,
    },
    platform::{objects, topic},
};
use tokio::{net as tokio_net, runtime, task};

use crate::{
    forward::{cx, link, listeners, memory, metrics, peers, reflector, reports},
    log::{self, event},
    process::{clock as boot, signals, startup},
};

/// Longest wait for a response of the platform.
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Divisor of the memory budget that gives the limit of a list of objects; several are read at once
/// and take several times their size while they are decoded.
const PLATFORM_DIVISOR: usize = 16;
/// Interval at which a draining entry checks whether its connections are closed.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Shortest time to close connections, for a process that was paused beyond its end.
const MIN_CLOSE_TIME: time::Duration = time::Duration::from_millis(150);

/// Why the entry could not start.
#[derive(Debug, Display)]
pub enum ServiceError {
    /// no settings: give --settings or set MUSTARDSHED_CONFIG
    NoSettings,
    /// {0}: {1}
    File(path::PathBuf, io::Error),
    /// {0}: {1}
    Settings(path::PathBuf, startup::Problems),
    /// cannot listen on {0}: {1}
    Listen(net::SocketAddr, io::Error),
    /// cannot register the metrics: {0}
    Metrics(prometheus::Error),
    /// cannot tell the memory of the VM: {0}
    Memory(io::Error),
    /// cannot start a thread or a runtime: {0}
    Runtime(io::Error),
}

impl std::error::Error for ServiceError {}

/// Reads and checks the settings.
///
/// # Errors
///
/// Returns an error if there is no settings file, or if it cannot be read or is invalid.
pub fn read(file: Option<path::PathBuf>) -> Result<forwarding::Forwarding, ServiceError> {
    let file = file.or_else(forwarding::path_from_environment);
    let file = file.ok_or(ServiceError::NoSettings)?;
    let source = fs::read_to_string(&file).map_err(|e| ServiceError::File(file.clone(), e))?;
    forwarding::parse(&source)
        .map_err(|problems: Vec<problem::Problem>| ServiceError::Settings(file, problems.into()))
}

/// Runs the entry until its planned stop has ended.
///
/// # Errors
///
/// Returns an error if the entry cannot start.
pub fn run(settings: forwarding::Forwarding) -> Result<(), ServiceError> {
    // Before any thread starts.
    memory::allocator::return_large_buffers();
    let traffic = runtime()?;
    // Before anything listens, so that no signal ends a process that has accepted requests.
    let signals = traffic.block_on(async { signals::Signals::open() });
    let signals = signals.map_err(ServiceError::Runtime)?;
    log::open_json(settings.log_level).map_err(ServiceError::Runtime)?;
    let memory = memory::open(settings.memory).map_err(ServiceError::Memory)?;
    let platform = objects::Objects::open(&settings.platform.to_string(), PLATFORM_TIMEOUT);
    let platform = platform.limited_to(memory.limit() / PLATFORM_DIVISOR);
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(boot::BootClock);
    let metrics = metrics::Metrics::new().map_err(ServiceError::Metrics)?;
    let cx = sync::Arc::new(cx::Cx::new(settings, clock, platform, memory, metrics));
    let control = runtime()?;
    let control_cx = sync::Arc::clone(&cx);
    let listener = listen_for_peers(cx.settings.peers)
        .map_err(|e| ServiceError::Listen(cx.settings.peers, e))?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.block_on(run_control(control_cx, listener)))
        .map_err(ServiceError::Runtime)?;
    let served = traffic.block_on(serve(sync::Arc::clone(&cx), signals));
    cx.begin_exit();
    // Ends the requests that are still in flight, which log that.
    drop(traffic);
    log::flush();
    served
}

fn runtime() -> Result<runtime::Runtime, ServiceError> {
    let rt = runtime::Builder::new_current_thread().enable_all().build();
    rt.map_err(ServiceError::Runtime)
}

/// Binds the address for links from peers.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen_for_peers(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Runs the control thread's tasks: watches the platform, exchanges updates with peers and polls
/// engines, for as long as the process runs.
pub async fn run_control(cx: sync::Arc<cx::Cx>, listener: net::TcpListener) {
    match tokio_net::TcpListener::from_std(listener) {
        Ok(listener) => drop(task::spawn(link::accept(sync::Arc::clone(&cx), listener))),
        Err(e) => log::emit(&event::Event::AcceptFailed {
            reason: &e.to_string(),
        }),
    }
    for topic in topic::Topic::ALL {
        drop(task::spawn(reflector::run(sync::Arc::clone(&cx), topic)));
    }
    drop(task::spawn(reports::poll_all(sync::Arc::clone(&cx))));
    peers::run(cx).await;
}

/// Serves callers until the planned stop has ended.
async fn serve(cx: sync::Arc<cx::Cx>, mut signals: signals::Signals) -> Result<(), ServiceError> {
    let settings = &cx.settings;
    log::emit(&event::Event::ForwardingStarted {
        vm: &settings.vm,
        data_centre: &settings.data_centre,
        program: env!("CARGO_PKG_VERSION"),
        buffer_limit_bytes: cx.memory.limit(),
    });
    let listen = |address, purpose| {
        let bound = listeners::bind(sync::Arc::clone(&cx), address, purpose);
        async move { bound.await.map_err(|e| ServiceError::Listen(address, e)) }
    };
    let mut ready = listen(settings.ready, listeners::Purpose::Discovery).await?;
    let mut directory = listen(settings.directory, listeners::Purpose::Discovery).await?;
    let _metrics = match settings.metrics {
        Some(address) => Some(listen(address, listeners::Purpose::Metrics).await?),
        None => None,
    };
    let mut traffic = listen(settings.front, listeners::Purpose::Traffic).await?;
    let stopped_at = wait_for_stop(&cx, &mut signals).await;
    cx.begin_drain_at(stopped_at);
    log::emit(&event::Event::DrainBegan {
        in_flight: cx.in_flight(),
    });
    wait_until_drained(&cx, &traffic, stopped_at).await;
    let elapsed = cx.now().saturating_sub(stopped_at);
    let closing = future::join3(traffic.close(), ready.close(), directory.close());
    let left = cx
        .exit_timeout()
        .saturating_sub(elapsed)
        .max(MIN_CLOSE_TIME);
    // The connections that are still open are logged with the end.
    drop(tokio::time::timeout(left, closing).await);
    log::emit(&event::Event::ForwardingStopped {
        vm: &settings.vm,
        open: traffic.open_connections(),
        in_flight: cx.in_flight(),
        elapsed_ms: cx.now().saturating_sub(stopped_at).as_millis(),
    });
    Ok(())
}

/// Waits for the order to stop, and returns when it may have been sent. On SIGHUP the settings file
/// is checked and the result logged.
async fn wait_for_stop(cx: &cx::Cx, signals: &mut signals::Signals) -> ids::Timestamp {
    let mut pauses = pauses::Pauses::new(cx.now());
    loop {
        tokio::select! {
            biased;
            order = signals.recv() => match order {
                signals::Order::Stop => return pauses.earliest_sent_at(cx.now()),
                signals::Order::Reload => check_reloaded_settings(cx),
            },
            () = tokio::time::sleep(pauses::TICK_INTERVAL) => pauses.tick(cx.now()),
        }
    }
}

/// Checks and logs whether the settings file has changed. A running entry keeps its settings;
/// changes take effect at the next start.
fn check_reloaded_settings(cx: &cx::Cx) {
    let result = match read(None) {
        Ok(settings) if settings == cx.settings => "unchanged".to_owned(),
        Ok(_) => "changed; takes effect at the next start".to_owned(),
        Err(e) => e.to_string(),
    };
    log::emit(&event::Event::SettingsReread { result: &result });
}

/// Keeps serving until callers have moved to other entries, at most until all requests must be
/// answered.
async fn wait_until_drained(cx: &cx::Cx, listener: &listeners::Listener, since: time::Duration) {
    let elapsed = || cx.now().saturating_sub(since);
    let is_idle = || {
        elapsed() >= planned_stop::ADVERTISED_FOR
            && listener.open_connections() == 0
            && cx.tunnels() == 0
    };
    while !is_idle() && elapsed() < cx.drain_timeout() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

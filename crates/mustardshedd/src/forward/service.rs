//! A forwarding entry from its start to its planned stop.

use std::{fs, io, net, path, sync, thread, time};

use displaydoc::Display;
use mustardshed::{
    config::{forwarding, problem},
    core::{boundary::clock, forward::planned_stop},
    platform::{objects, topic},
};
use tokio::{net as tokio_net, runtime, signal::unix, task};

use crate::{
    forward::{cx, follow, front, link, metrics, peers, reports},
    log::{self, event},
    process::{clock as boot, startup},
};

/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Wait between looks at whether all work is done.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Why the entry could not run.
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
    /// cannot make the metrics: {0}
    Metrics(prometheus::Error),
    /// cannot start a thread or a runtime: {0}
    Runtime(io::Error),
}

impl std::error::Error for ServiceError {}

/// Reads and checks the settings.
///
/// # Errors
///
/// Returns an error if there are none, or if they do not hold what they must.
pub fn read(file: Option<path::PathBuf>) -> Result<forwarding::Forwarding, ServiceError> {
    let file = file.or_else(forwarding::path_from_environment);
    let file = file.ok_or(ServiceError::NoSettings)?;
    let source = fs::read_to_string(&file).map_err(|e| ServiceError::File(file.clone(), e))?;
    forwarding::parse(&source)
        .map_err(|problems: Vec<problem::Problem>| ServiceError::Settings(file, problems.into()))
}

/// Runs the entry until a planned stop has ended.
///
/// # Errors
///
/// Returns an error if it cannot start.
pub fn run(settings: forwarding::Forwarding) -> Result<(), ServiceError> {
    log::open_json(settings.log_level).map_err(ServiceError::Runtime)?;
    let platform = objects::Objects::open(&settings.platform.to_string(), PLATFORM_TIMEOUT);
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(boot::BootClock);
    let metrics = metrics::Metrics::new().map_err(ServiceError::Metrics)?;
    let cx = sync::Arc::new(cx::Cx::new(settings, clock, platform, metrics));
    let control = runtime()?;
    let traffic = runtime()?;
    let followed = sync::Arc::clone(&cx);
    let listener = listen_for_peers(cx.settings.peers)
        .map_err(|e| ServiceError::Listen(cx.settings.peers, e))?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.block_on(follow_all(followed, listener)))
        .map_err(ServiceError::Runtime)?;
    let served = traffic.block_on(serve(cx));
    log::flush();
    served
}

fn runtime() -> Result<runtime::Runtime, ServiceError> {
    let rt = runtime::Builder::new_current_thread().enable_all().build();
    rt.map_err(ServiceError::Runtime)
}

/// Binds the address for peers.
///
/// # Errors
///
/// Returns an error if it cannot be bound.
pub fn listen_for_peers(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Follows the platform and the peers, for as long as the process runs.
pub async fn follow_all(cx: sync::Arc<cx::Cx>, listener: net::TcpListener) {
    match tokio_net::TcpListener::from_std(listener) {
        Ok(listener) => drop(task::spawn(link::accept(sync::Arc::clone(&cx), listener))),
        Err(e) => log::emit(&event::Event::AcceptFailed {
            reason: &e.to_string(),
        }),
    }
    for topic in topic::Topic::ALL {
        drop(task::spawn(follow::follow(sync::Arc::clone(&cx), topic)));
    }
    drop(task::spawn(reports::read_all(sync::Arc::clone(&cx))));
    peers::keep(cx).await;
}

/// Serves callers until a planned stop has ended.
async fn serve(cx: sync::Arc<cx::Cx>) -> Result<(), ServiceError> {
    let settings = &cx.settings;
    log::emit(&event::Event::ForwardingStarted {
        vm: &settings.vm,
        data_centre: &settings.data_centre,
        program: env!("CARGO_PKG_VERSION"),
    });
    let listen = |address, purpose| {
        let bound = front::bind(sync::Arc::clone(&cx), address, purpose);
        async move { bound.await.map_err(|e| ServiceError::Listen(address, e)) }
    };
    let _ready = listen(settings.ready, front::Purpose::Questions).await?;
    let _directory = listen(settings.directory, front::Purpose::Questions).await?;
    let _metrics = match settings.metrics {
        Some(address) => Some(listen(address, front::Purpose::Metrics).await?),
        None => None,
    };
    let front = listen(settings.front, front::Purpose::Traffic).await?;
    until_told_to_stop(&cx).await?;
    let stopped_at = cx.now();
    cx.begin_drain();
    log::emit(&event::Event::DrainBegan {
        in_flight: front.open_connections(),
    });
    drain(&cx, &front, stopped_at).await;
    log::emit(&event::Event::ForwardingStopped {
        vm: &settings.vm,
        open: front.open_connections(),
    });
    Ok(())
}

/// Waits for the order to stop; an order to read the settings again is checked and logged.
async fn until_told_to_stop(cx: &cx::Cx) -> Result<(), ServiceError> {
    let signal = |kind| unix::signal(kind).map_err(ServiceError::Runtime);
    let mut terminate = signal(unix::SignalKind::terminate())?;
    let mut interrupt = signal(unix::SignalKind::interrupt())?;
    let mut reload = signal(unix::SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => reread(cx),
        }
    }
}

/// Reads the settings again. Addresses hold for a run of the process; nothing else in them changes
/// what a running entry does.
fn reread(cx: &cx::Cx) {
    let result = match read(None) {
        Ok(settings) if settings == cx.settings => "unchanged".to_owned(),
        Ok(_) => "changed; takes effect at the next start".to_owned(),
        Err(e) => e.to_string(),
    };
    log::emit(&event::Event::SettingsReread { result: &result });
}

/// Serves on until callers have gone elsewhere, at most until shortly before the kill.
async fn drain(cx: &cx::Cx, front: &front::Front, since: time::Duration) {
    let end = cx.stop_time();
    loop {
        let elapsed = cx.now().saturating_sub(since);
        let is_left = elapsed >= planned_stop::NAMED_FOR && front.open_connections() == 0;
        if is_left || elapsed >= end {
            return;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

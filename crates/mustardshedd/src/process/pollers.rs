//! Reads of the platform and of backend servers; their results go to the control thread as events.

use std::{sync, time};

use mustardshed::{
    core::{
        boundary::{backend_server, platform},
        ids,
        process::event,
        version::record,
    },
    wire::configuration,
};
use tokio::sync::mpsc;

use crate::process::control;

/// Name of the one configuration object.
pub const CONFIGURATION_NAME: &str = "current";

/// Timeout of one watch of the configuration; a response confirms the known configuration.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Interval between reads of the list of VMs.
const VMS_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Delay after a failed call to the platform.
const BACKOFF: time::Duration = time::Duration::from_millis(250);
/// Timeout for a load report.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Starts the pollers of the platform on the current runtime.
pub fn spawn(parts: &control::Parts, events_tx: &mpsc::Sender<event::Event>) {
    tokio::spawn(poll_configuration(parts.clone(), events_tx.clone()));
    tokio::spawn(poll_vms(parts.clone(), events_tx.clone()));
}

/// Starts one read of a backend server's load.
pub fn read_load(
    parts: &control::Parts,
    events_tx: &mpsc::Sender<event::Event>,
    server: ids::BackendServerId,
    address: String,
) {
    let servers = sync::Arc::clone(&parts.servers);
    let begun_at = parts.clock.now();
    let events_tx = events_tx.clone();
    tokio::spawn(async move {
        let result = tokio::time::timeout(LOAD_TIMEOUT, servers.load(&address))
            .await
            .unwrap_or_else(|_| Err(timed_out()));
        let event = event::Event::LoadRead {
            server,
            begun_at,
            result,
        };
        // The control thread lives as long as the process.
        let _ = events_tx.send(event).await;
    });
}

/// Cancels a request that no longer has an owner; the steward of the server retries a failure.
pub fn cancel(parts: &control::Parts, address: String, request: ids::RequestId) {
    let servers = sync::Arc::clone(&parts.servers);
    tokio::spawn(async move {
        // The next load report shows whether it worked.
        let _ = servers.cancel(&address, &request).await;
    });
}

/// Releases a reservation that no longer has an owner; the steward of the server retries a failure.
pub fn release_reservation(parts: &control::Parts, address: String, request: ids::RequestId) {
    let servers = sync::Arc::clone(&parts.servers);
    tokio::spawn(async move {
        // The next load report shows whether it worked.
        let _ = servers.release(&address, &request).await;
    });
}

fn timed_out() -> backend_server::BackendServerError {
    backend_server::BackendServerError::Broken("no load report in time".to_owned())
}

async fn poll_configuration(parts: control::Parts, events_tx: mpsc::Sender<event::Event>) {
    let mut known: Option<(ids::ObjectVersion, record::Record)> = None;
    loop {
        let begun_at = parts.clock.now();
        let since = known.as_ref().map_or(0, |(version, _)| *version);
        let result = parts
            .platform
            .watch(
                platform::Purpose::Configuration,
                platform::ObjectKind::Configuration,
                CONFIGURATION_NAME,
                since,
                WATCH_TIMEOUT,
            )
            .await
            .and_then(decode);
        let failed = result.is_err();
        let result = result.map(|newer| {
            if newer.is_some() {
                known = newer;
            }
            known.clone()
        });
        let event = event::Event::ConfigurationRead { begun_at, result };
        if events_tx.send(event).await.is_err() {
            return;
        }
        if failed {
            tokio::time::sleep(BACKOFF).await;
        }
    }
}

fn decode(
    object: Option<platform::Object>,
) -> Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError> {
    let Some(object) = object else {
        return Ok(None);
    };
    configuration::decode(&object.value)
        .map(|record| Some((object.version, record)))
        .map_err(|e| platform::PlatformError::Refused(e.to_string()))
}

async fn poll_vms(parts: control::Parts, events_tx: mpsc::Sender<event::Event>) {
    loop {
        let result = parts.platform.vms().await;
        let wait = if result.is_ok() {
            VMS_INTERVAL
        } else {
            BACKOFF
        };
        if events_tx
            .send(event::Event::VmsRead { result })
            .await
            .is_err()
        {
            return;
        }
        tokio::time::sleep(wait).await;
    }
}

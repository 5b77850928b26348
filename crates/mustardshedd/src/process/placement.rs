//! Executes the actions of placement: calls about the lease object, reads of engines, orders.

use std::sync;

use arc_swap::ArcSwap;
use mustardshed::{
    core::{
        boundary::{backend_server, platform},
        ids,
        process::{
            placement::{self, action, event, lease, record},
            snapshot,
        },
    },
    wire::placement as wire,
};
use tokio::{sync::mpsc, time};

use crate::process::control;

/// Capacity of the queue of results of calls; few calls run at once, and each has one result.
const EVENT_QUEUE_LEN: usize = 256;

/// Starts placement on the current runtime.
pub fn spawn(parts: &control::Parts, published: sync::Arc<ArcSwap<snapshot::Snapshot>>) {
    tokio::spawn(run(parts.clone(), published));
}

async fn run(parts: control::Parts, published: sync::Arc<ArcSwap<snapshot::Snapshot>>) {
    let identity = &parts.identity;
    let now = parts.clock.now();
    let mut placement = placement::Placement::new(&identity.vm, identity.incarnation, now);
    let (events_tx, mut events_rx) = mpsc::channel(EVENT_QUEUE_LEN);
    let mut ticks = time::interval(placement::TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            Some(event) = events_rx.recv() => event,
            _ = ticks.tick() => event::Event::Tick(published.load_full()),
        };
        for action in placement.handle(event, parts.clock.now()) {
            execute(&parts, &events_tx, action);
        }
    }
}

fn execute(parts: &control::Parts, events_tx: &mpsc::Sender<event::Event>, action: action::Action) {
    match action {
        action::Action::ReadLease => spawn_call(events_tx, read_lease(parts.clone())),
        action::Action::WriteLease { expected, record } => {
            spawn_call(events_tx, write_lease(parts.clone(), expected, record));
        }
        action::Action::ReadEngine { ticket, address } => {
            spawn_call(events_tx, read_engine(parts.clone(), ticket, address));
        }
        action::Action::Order {
            ticket,
            address,
            fence,
            order,
            send_by,
        } => {
            let parts = parts.clone();
            spawn_call(events_tx, async move {
                let result = send_order(&parts, &address, fence, order, send_by).await;
                event::Event::Ordered {
                    ticket,
                    outcome: result,
                }
            });
        }
        action::Action::Log(event) => (parts.log)(&event),
    }
}

/// Starts a call whose result becomes an event.
fn spawn_call(
    events_tx: &mpsc::Sender<event::Event>,
    call: impl Future<Output = event::Event> + Send + 'static,
) {
    let events_tx = events_tx.clone();
    tokio::spawn(async move {
        // The receiver lives as long as the process.
        let _ = events_tx.send(call.await).await;
    });
}

async fn read_lease(parts: control::Parts) -> event::Event {
    let read = parts.platform.get(
        platform::Purpose::Lease,
        platform::ObjectKind::Lease,
        wire::LEASE_NAME,
    );
    let result = read.await.and_then(decode);
    event::Event::LeaseRead { result }
}

fn decode(
    object: Option<platform::Object>,
) -> Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError> {
    let Some(object) = object else {
        return Ok(None);
    };
    wire::decode(&object.value)
        .map(|record| Some((object.version, record)))
        .map_err(|e| platform::PlatformError::Refused(e.to_string()))
}

async fn write_lease(
    parts: control::Parts,
    expected: ids::ObjectVersion,
    record: record::Record,
) -> event::Event {
    let nonce = record.nonce;
    let result = match wire::encode(&record) {
        Ok(value) => {
            let write = parts.platform.put(
                platform::Purpose::Lease,
                platform::ObjectKind::Lease,
                wire::LEASE_NAME,
                expected,
                value,
            );
            write.await
        }
        Err(e) => Err(platform::PlatformError::Refused(e.to_string())),
    };
    event::Event::LeaseWritten { nonce, result }
}

async fn read_engine(parts: control::Parts, ticket: u64, address: String) -> event::Event {
    let begun_at = parts.clock.now();
    let result = parts.servers.load(&address).await;
    event::Event::EngineRead {
        ticket,
        begun_at,
        result,
    }
}

/// Sends an order, unless the clock, read just before, shows that it is too late.
async fn send_order(
    parts: &control::Parts,
    address: &str,
    fence: ids::FencingNumber,
    order: backend_server::Order,
    send_by: ids::Timestamp,
) -> event::OrderOutcome {
    if !action::may_send(send_by, parts.clock.now()) {
        return event::OrderOutcome::TooLate;
    }
    let call = parts.servers.order(address, fence, order);
    match time::timeout(lease::ORDER_TIMEOUT, call).await {
        Ok(Ok(())) => event::OrderOutcome::Accepted,
        Ok(Err(e)) => event::OrderOutcome::Failed(e),
        Err(_) => {
            let reason = "no response to an order in time".to_owned();
            event::OrderOutcome::Failed(backend_server::BackendServerError::Broken(reason))
        }
    }
}

//! The control thread and the handle through which traffic threads use it.

use std::{fmt, io, sync, thread};

use arc_swap::ArcSwap;
use mustardshed::{
    core::{
        boundary::{backend_server, clock, control, platform},
        error, ids,
        process::{action, event, node, snapshot},
        request::fate,
        version::record,
    },
    platform::byte_counter,
};
use tokio::{runtime, sync::mpsc, sync::oneshot, time};

use crate::process::{inbound, links, pending, placement, pollers};

mod boundary;
pub(crate) mod handle;

pub use handle::Handle;

/// Capacity of the queue of events from links and pollers to the control thread.
const EVENT_QUEUE_LEN: usize = 4096;

/// Command of a traffic thread to the control thread.
///
/// The queue itself is unbounded; every command belongs to a request in flight, and the listener
/// limits their number.
#[derive(Debug)]
pub(crate) enum Command {
    /// Requests a credit.
    Acquire(
        control::CreditRequest,
        oneshot::Sender<Result<control::Credit, error::Error>>,
    ),
    /// Releases a credit.
    Release(control::Credit, control::Feedback),
    /// Records the fate of a request of this entry.
    Record(fate::Fate),
    /// Queries the fate of a request.
    WantFate(ids::RequestId, oneshot::Sender<action::FateAnswer>),
    /// Announces a configuration before it is written.
    Intent(
        record::Record,
        oneshot::Sender<Result<ids::Generation, error::Error>>,
    ),
    /// Reports a configuration that was accepted.
    Commit(
        record::Record,
        oneshot::Sender<Result<ids::Generation, error::Error>>,
    ),
    /// Reports how many requests are in flight, and how many may be.
    InFlight {
        in_flight: usize,
        max_in_flight: usize,
    },
    /// Begins the planned stop.
    Leave,
}

/// Dependencies of the control thread.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Identity of this entry.
    pub identity: node::Identity,
    /// Seed of the random choices of this entry.
    pub seed: u64,
    /// Clock.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Platform.
    pub platform: sync::Arc<dyn platform::Platform>,
    /// Backend servers.
    pub servers: sync::Arc<dyn backend_server::BackendServer>,
    /// Secret that peers share.
    pub peer_key: sync::Arc<[u8]>,
    /// Writes the log events of the decision core.
    pub log: fn(&action::LogEvent),
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an error if the thread or its runtime cannot be created.
pub fn spawn(parts: Parts, peer_listener: std::net::TcpListener) -> io::Result<Handle> {
    let rt = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (commands_tx, commands_rx) = mpsc::unbounded_channel();
    let (events_tx, events_rx) = mpsc::channel(EVENT_QUEUE_LEN);
    let now = parts.clock.now();
    let node = node::Node::new(parts.identity.clone(), parts.seed, now);
    let published = sync::Arc::new(ArcSwap::from(node.snapshot(now)));
    let handle = Handle::new(&parts, sync::Arc::clone(&published), commands_tx);
    let links = links::Links::new(&parts, sync::Arc::clone(&handle.peer_bytes));
    let thread = Thread {
        parts,
        node,
        pending: pending::Pending::default(),
        links,
        events_tx,
        published,
        peer_bytes: sync::Arc::clone(&handle.peer_bytes),
    };
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || rt.block_on(thread.run(peer_listener, commands_rx, events_rx)))?;
    Ok(handle)
}

/// State of the control thread.
struct Thread {
    parts: Parts,
    node: node::Node,
    pending: pending::Pending,
    links: links::Links,
    events_tx: mpsc::Sender<event::Event>,
    published: sync::Arc<ArcSwap<snapshot::Snapshot>>,
    peer_bytes: sync::Arc<byte_counter::ByteCounter>,
}

impl fmt::Debug for Thread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Thread")
            .field("identity", &self.parts.identity)
            .finish_non_exhaustive()
    }
}

impl Thread {
    async fn run(
        mut self,
        peer_listener: std::net::TcpListener,
        mut commands_rx: mpsc::UnboundedReceiver<Command>,
        mut events_rx: mpsc::Receiver<event::Event>,
    ) {
        let events_tx = self.events_tx.clone();
        let peer_bytes = sync::Arc::clone(&self.peer_bytes);
        inbound::spawn(&self.parts, peer_listener, events_tx, peer_bytes);
        pollers::spawn(&self.parts, &self.events_tx);
        placement::spawn(&self.parts, sync::Arc::clone(&self.published));
        let mut ticks = time::interval(node::TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                command = commands_rx.recv() => match command {
                    Some(command) => self.event_for(command),
                    None => return,
                },
                Some(event) = events_rx.recv() => event,
                _ = ticks.tick() => event::Event::Tick,
            };
            self.handle(event);
            self.publish();
        }
    }

    fn event_for(&mut self, command: Command) -> event::Event {
        match command {
            Command::Acquire(req, tx) => event::Event::Acquire {
                ticket: self.pending.add_credit(tx),
                req,
            },
            Command::Release(credit, feedback) => event::Event::Release { credit, feedback },
            Command::Record(fate) => event::Event::Fate(fate),
            Command::WantFate(request, tx) => event::Event::WantFate {
                ticket: self.pending.add_fate(tx),
                request,
            },
            Command::Intent(record, tx) => event::Event::Intent {
                ticket: self.pending.add_acknowledgement(tx),
                record,
            },
            Command::Commit(record, tx) => event::Event::Commit {
                ticket: self.pending.add_acknowledgement(tx),
                record,
            },
            Command::InFlight {
                in_flight,
                max_in_flight,
            } => event::Event::InFlight {
                in_flight,
                max_in_flight,
            },
            Command::Leave => event::Event::Leave,
        }
    }

    fn handle(&mut self, event: event::Event) {
        let now = self.parts.clock.now();
        for action in self.node.handle(event, now) {
            self.execute(action);
        }
    }

    fn publish(&self) {
        let now = self.parts.clock.now();
        self.published.store(self.node.snapshot(now));
    }

    fn execute(&mut self, action: action::Action) {
        match action {
            action::Action::Send { vm, message } => self.links.send(&vm, message),
            action::Action::Connect { vm, peer_address } => self.links.connect(vm, peer_address),
            action::Action::Disconnect { vm } => self.links.disconnect(&vm),
            action::Action::ReadLoad { server, address } => {
                pollers::read_load(&self.parts, &self.events_tx, server, address);
            }
            action::Action::Cancel { address, request } => {
                pollers::cancel(&self.parts, address, request);
            }
            action::Action::ReleaseReservation { address, request } => {
                pollers::release_reservation(&self.parts, address, request);
            }
            action::Action::AnswerAcquire { ticket, result } => self.send_credit(ticket, result),
            action::Action::Acknowledge { ticket, result } => {
                self.pending.send_acknowledgement(ticket, result);
            }
            action::Action::AnswerFate { ticket, result } => self.pending.send_fate(ticket, result),
            action::Action::Log(event) => (self.parts.log)(&event),
        }
    }

    /// Sends a credit to its caller, or back to the node if the caller is gone.
    fn send_credit(&mut self, ticket: u64, result: Result<control::Credit, error::Error>) {
        let Some(credit) = self.pending.send_credit(ticket, result) else {
            return;
        };
        let feedback = control::Feedback::unused(&credit);
        self.handle(event::Event::Release { credit, feedback });
    }
}

//! One link between two entries: who opened it tells and asks, the other side answers.
//!
//! Links trust the internal network: only machines of the system reach its ports, and no setting
//! carries a secret that entries could share.

use std::{io, sync, time};

use displaydoc::Display;
use futures_util::{SinkExt, StreamExt};
use mustardshed::{
    core::ids,
    platform::{objects, topic},
    wire::{forward, peer},
};
use tokio::{net, sync::mpsc, task};
use tokio_tungstenite::{WebSocketStream, tungstenite};

use crate::{
    forward::cx,
    log::{self, event},
};

/// Wait before a lost link is opened again.
pub const REOPEN_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Longest wait for a link to open.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Longest wait for a frame to be taken.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Wait between signs of life.
const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Silence of the other side after which the link is opened anew.
const SILENT_AFTER: time::Duration = time::Duration::from_millis(1_500);
/// Time for which a peer has known a later change before it is asked for it: this entry's own watch
/// is quicker unless something is wrong with it.
const ASK_PEER_AFTER: time::Duration = time::Duration::from_millis(300);
/// Wait between questions for the same kind of objects.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Messages sent in one frame at most.
const FRAME_MESSAGES: usize = 256;

type Socket = WebSocketStream<net::TcpStream>;

/// Why a link ended.
#[derive(Debug, Display)]
pub enum LinkError {
    /// no connection: {0}
    Connect(io::Error),
    /// the WebSocket failed: {0}
    Socket(Box<tungstenite::Error>),
    /// a frame is not understood: {0}
    Frame(peer::Error),
    /// the other side is silent
    Silent,
    /// the other side closed the link
    Closed,
    /// this process stood still
    StoodStill,
    /// the queue overflowed
    Overflow,
}

impl std::error::Error for LinkError {}

impl From<tungstenite::Error> for LinkError {
    fn from(e: tungstenite::Error) -> Self {
        Self::Socket(Box::new(e))
    }
}

impl From<peer::Error> for LinkError {
    fn from(e: peer::Error) -> Self {
        Self::Frame(e)
    }
}

/// Opens a link and runs it until it fails; returns why.
pub async fn run(
    cx: &sync::Arc<cx::Cx>,
    address: &str,
    rx: mpsc::Receiver<forward::Message>,
) -> LinkError {
    let socket = match tokio::time::timeout(OPEN_TIMEOUT, open(address)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(e)) => return e,
        Err(_) => return LinkError::Silent,
    };
    let now = cx.now();
    let opener = Opener {
        cx: sync::Arc::clone(cx),
        socket,
        rx,
        heard_at: now,
        ticked_at: now,
        behind_since: [None; forward::TOPICS],
        asked_at: [time::Duration::ZERO; forward::TOPICS],
    };
    match opener.run().await {
        Ok(()) => LinkError::Overflow,
        Err(e) => e,
    }
}

async fn open(address: &str) -> Result<Socket, LinkError> {
    let stream = net::TcpStream::connect(address)
        .await
        .map_err(LinkError::Connect)?;
    stream.set_nodelay(true).map_err(LinkError::Connect)?;
    let url = format!("ws://{address}/");
    let (socket, _) = tokio_tungstenite::client_async(url, stream).await?;
    Ok(socket)
}

async fn send(socket: &mut Socket, messages: &[forward::Message]) -> Result<(), LinkError> {
    let buf = forward::encode(messages)?;
    let sending = socket.send(tungstenite::Message::binary(buf));
    match tokio::time::timeout(SEND_TIMEOUT, sending).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(LinkError::Silent),
    }
}

/// The side that opened the link.
struct Opener {
    cx: sync::Arc<cx::Cx>,
    socket: Socket,
    rx: mpsc::Receiver<forward::Message>,
    heard_at: ids::Timestamp,
    ticked_at: ids::Timestamp,
    /// Since when the other side has known a later change of a kind.
    behind_since: [Option<ids::Timestamp>; forward::TOPICS],
    asked_at: [ids::Timestamp; forward::TOPICS],
}

impl Opener {
    async fn run(mut self) -> Result<(), LinkError> {
        let greeting = self.greeting();
        send(&mut self.socket, &greeting).await?;
        let mut beats = tokio::time::interval(BEAT_INTERVAL);
        beats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = self.rx.recv_many(&mut batch, FRAME_MESSAGES) => {
                    if count == 0 {
                        return Ok(());
                    }
                    send(&mut self.socket, &batch).await?;
                    batch.clear();
                }
                frame = self.socket.next() => self.take(frame).await?,
                _ = beats.tick() => self.beat().await?,
            }
        }
    }

    /// Returns who this is and all that it has in flight.
    fn greeting(&self) -> Vec<forward::Message> {
        let mut messages = vec![forward::Message::Hello(self.cx.entry())];
        let now = self.cx.now();
        let state = self.cx.state();
        let jobs = state.ledger.jobs_of(&self.cx.settings.vm);
        messages.extend(jobs.map(|(key, job)| forward::Message::Started {
            number: key.number,
            job: forward::Job::told(job, now),
        }));
        messages
    }

    async fn beat(&mut self) -> Result<(), LinkError> {
        let now = self.cx.now();
        // Peers have forgotten the work of an entry that stood still; it is told anew.
        if now.saturating_sub(std::mem::replace(&mut self.ticked_at, now)) > SILENT_AFTER {
            return Err(LinkError::StoodStill);
        }
        if now.saturating_sub(self.heard_at) > SILENT_AFTER {
            return Err(LinkError::Silent);
        }
        let beat = forward::Message::Beat(forward::Beat {
            sent_at_us: forward::micros(now),
        });
        send(&mut self.socket, &[beat]).await
    }

    async fn take(
        &mut self,
        frame: Option<Result<tungstenite::Message, tungstenite::Error>>,
    ) -> Result<(), LinkError> {
        for message in messages(frame)? {
            match message {
                forward::Message::Echo {
                    sent_at_us,
                    entry,
                    topics,
                } => {
                    self.echo(forward::timestamp(sent_at_us), entry, topics)
                        .await?
                }
                forward::Message::Topic {
                    topic,
                    state,
                    objects,
                } => take_topic(&self.cx, topic, state, objects),
                _ => {}
            }
        }
        Ok(())
    }

    async fn echo(
        &mut self,
        sent_at: ids::Timestamp,
        entry: forward::Entry,
        topics: [Option<forward::TopicState>; forward::TOPICS],
    ) -> Result<(), LinkError> {
        let now = self.cx.now();
        self.heard_at = now;
        let vm = entry.vm.clone();
        if vm == self.cx.settings.vm {
            return Ok(());
        }
        let mut wanted = Vec::new();
        {
            let mut state = self.cx.state();
            state.roster.heard(&vm, entry.into(), sent_at.min(now));
            for (topic, read) in topic::Topic::ALL.into_iter().zip(topics) {
                let Some(read) = read else {
                    continue;
                };
                let index = topic.index();
                if !state.view.peer_read(topic, read, sent_at.min(now)) {
                    self.behind_since[index] = None;
                    continue;
                }
                let since = *self.behind_since[index].get_or_insert(now);
                let is_late = now.saturating_sub(since) >= ASK_PEER_AFTER;
                let is_due = now.saturating_sub(self.asked_at[index]) >= ASK_INTERVAL;
                if is_late && is_due {
                    self.asked_at[index] = now;
                    wanted.push(forward::Message::WantTopic { topic: index });
                }
            }
        }
        if wanted.is_empty() {
            return Ok(());
        }
        send(&mut self.socket, &wanted).await
    }
}

/// Takes the objects of a kind that a peer has read.
fn take_topic(
    cx: &cx::Cx,
    topic: usize,
    state: forward::TopicState,
    objects: Vec<forward::Object>,
) {
    let Some(topic) = topic::Topic::from_index(topic) else {
        return;
    };
    let objects = objects.into_iter().map(|object| {
        let object = objects::Object {
            name: object.name,
            revision: object.revision,
            content: object.content,
        };
        (object.name.clone(), object)
    });
    let listing = objects::Listing {
        objects: objects.collect(),
        revision: state.changed,
    };
    let now = cx.now();
    // The answer was made before now by less than a link's silence.
    let age = time::Duration::from_millis(state.age_ms) + SILENT_AFTER;
    let noticed = cx
        .state()
        .view
        .listed(topic, listing, now.saturating_sub(age), now);
    for (server, left) in noticed.cold {
        cx.cold(&server, left);
    }
    cx.looked.notify_waiters();
}

fn messages(
    frame: Option<Result<tungstenite::Message, tungstenite::Error>>,
) -> Result<Vec<forward::Message>, LinkError> {
    match frame {
        None | Some(Ok(tungstenite::Message::Close(_))) => Err(LinkError::Closed),
        Some(Ok(tungstenite::Message::Binary(buf))) => Ok(forward::decode(&buf)?),
        Some(Ok(_)) => Ok(Vec::new()),
        Some(Err(e)) => Err(e.into()),
    }
}

/// Accepts links from peers, for as long as the process runs.
pub async fn accept(cx: sync::Arc<cx::Cx>, listener: net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(answer(sync::Arc::clone(&cx), stream));
            }
            Err(e) => {
                log::emit(&event::Event::AcceptFailed {
                    reason: &e.to_string(),
                });
                tokio::time::sleep(REOPEN_INTERVAL).await;
            }
        }
    }
}

async fn answer(cx: sync::Arc<cx::Cx>, stream: net::TcpStream) {
    let answering = async {
        stream.set_nodelay(true).map_err(LinkError::Connect)?;
        let socket = tokio::time::timeout(OPEN_TIMEOUT, tokio_tungstenite::accept_async(stream));
        let socket = socket.await.map_err(|_| LinkError::Silent)??;
        Answerer {
            cx,
            socket,
            vm: None,
        }
        .run()
        .await
    };
    let result: Result<(), LinkError> = answering.await;
    if let Err(e) = result {
        log::emit(&event::Event::LinkLost {
            address: "inbound",
            reason: &e.to_string(),
        });
    }
}

/// The side that accepted the link.
struct Answerer {
    cx: sync::Arc<cx::Cx>,
    socket: Socket,
    /// Who opened the link, once it has said so.
    vm: Option<ids::VmId>,
}

impl Answerer {
    async fn run(mut self) -> Result<(), LinkError> {
        loop {
            let frame = tokio::time::timeout(SILENT_AFTER * 2, self.socket.next()).await;
            let frame = frame.map_err(|_| LinkError::Silent)?;
            let answers: Vec<forward::Message> = messages(frame)?
                .into_iter()
                .filter_map(|message| self.take(message))
                .collect();
            if !answers.is_empty() {
                send(&mut self.socket, &answers).await?;
            }
        }
    }

    fn take(&mut self, message: forward::Message) -> Option<forward::Message> {
        let now = self.cx.now();
        match message {
            forward::Message::Hello(entry) => {
                self.cx.state().ledger.forget(&entry.vm, now);
                self.vm = Some(entry.vm);
                None
            }
            forward::Message::Beat(beat) => Some(self.echo(beat, now)),
            forward::Message::Started { number, job } => {
                let key = forward::job_key(self.vm()?, number);
                self.cx.state().ledger.start(key, job.heard(now), now);
                None
            }
            forward::Message::FirstEvent { number } => {
                let key = forward::job_key(self.vm()?, number);
                self.cx.state().ledger.first_event(&key, now);
                None
            }
            forward::Message::Ended { number } => {
                let key = forward::job_key(self.vm()?, number);
                self.cx.state().ledger.end(&key, now);
                None
            }
            forward::Message::Unreachable { server } => {
                self.cx.state().ledger.health_mut(&server).unreachable(now);
                None
            }
            forward::Message::Cold { server, left_ms } => {
                let until = now + time::Duration::from_millis(left_ms);
                self.cx.state().ledger.health_mut(&server).cold(until);
                None
            }
            forward::Message::Pace { server, pace } => {
                self.cx.state().ledger.health_mut(&server).set_pace(pace);
                None
            }
            forward::Message::WantTopic { topic } => self.topic(topic, now),
            forward::Message::Echo { .. } | forward::Message::Topic { .. } => None,
        }
    }

    fn vm(&self) -> Option<&str> {
        self.vm.as_deref()
    }

    fn echo(&self, beat: forward::Beat, now: ids::Timestamp) -> forward::Message {
        // Beats that waited while this process stood still show nothing of their sender's present
        // state, so only echoes of this entry's own beats count as signs of life.
        let entry = self.cx.entry();
        let state = self.cx.state();
        let topics = topic::Topic::ALL.map(|topic| state.view.state(topic, now));
        forward::Message::Echo {
            sent_at_us: beat.sent_at_us,
            entry,
            topics,
        }
    }

    fn topic(&self, index: usize, now: ids::Timestamp) -> Option<forward::Message> {
        let topic = topic::Topic::from_index(index)?;
        let state = self.cx.state();
        Some(forward::Message::Topic {
            topic: index,
            state: state.view.state(topic, now)?,
            objects: state.view.objects(topic),
        })
    }
}

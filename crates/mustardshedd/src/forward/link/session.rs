//! Exchange of messages between two entries on one link.

use std::sync;

use mustardshed::{
    core::{forward::send_times, ids},
    platform::topic,
    wire::forward,
};
use tokio::{
    sync::mpsc,
    time::{self as tokio_time, Instant},
};

use crate::{
    forward::{
        cx,
        link::{self, LinkError, Side, catch_up, updates},
        peers,
    },
    log::{self, event},
};

/// One side of a link.
pub(super) struct Session {
    cx: sync::Arc<cx::Cx>,
    socket: link::Socket,
    side: Side,
    /// Messages to send; none on a side that only receives.
    rx: Option<mpsc::Receiver<peers::Queued>>,
    /// The entry at the other side, known from its hello.
    peer: Option<ids::VmId>,
    last_echo_at: ids::Timestamp,
    send_times: send_times::SendTimes,
    last_heartbeat_at: ids::Timestamp,
    next_frame_at: Instant,
    catch_up: catch_up::CatchUp,
}

impl Session {
    /// Creates a side of a link whose opening began at `opened_at`.
    pub(super) fn new(
        cx: sync::Arc<cx::Cx>,
        socket: link::Socket,
        side: Side,
        rx: Option<mpsc::Receiver<peers::Queued>>,
        opened_at: ids::Timestamp,
    ) -> Self {
        let now = cx.now();
        Self {
            cx,
            socket,
            side,
            rx,
            peer: None,
            last_echo_at: now,
            send_times: send_times::SendTimes::new(opened_at),
            last_heartbeat_at: now,
            next_frame_at: Instant::now(),
            catch_up: catch_up::CatchUp::default(),
        }
    }

    /// Exchanges messages until the queue of outgoing messages is closed.
    ///
    /// # Errors
    ///
    /// Returns why the link failed.
    pub(super) async fn run(mut self) -> Result<(), LinkError> {
        let greeting = match self.side {
            Side::Sender => updates::for_mesh(&self.cx),
            Side::Leaf => updates::own(&self.cx, true),
            Side::Receiver | Side::Relay => Vec::new(),
        };
        link::send(&mut self.socket, &greeting).await?;
        let mut ticks = tokio_time::interval(link::HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio_time::MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = next_batch(self.rx.as_mut(), &mut batch, self.next_frame_at) => {
                    if count == 0 {
                        return Ok(());
                    }
                    self.send_batch(batch.drain(..)).await?;
                }
                received = link::receive(&mut self.socket) => self.handle(received?).await?,
                _ = ticks.tick(), if self.side != Side::Receiver => self.send_heartbeat().await?,
                () = tokio_time::sleep(link::SILENCE_TIMEOUT * 2), if self.side == Side::Receiver => {
                    return Err(LinkError::Silent);
                }
            }
        }
    }

    async fn send_batch(
        &mut self,
        batch: impl Iterator<Item = peers::Queued>,
    ) -> Result<(), LinkError> {
        let now = self.cx.now();
        let batch: Vec<forward::Message> = batch.map(|queued| queued.at(now)).collect();
        link::send(&mut self.socket, &batch).await?;
        let has_leaves = self.side == Side::Sender && !self.cx.peers.leaves().is_empty();
        self.next_frame_at = Instant::now() + self.side.frame_interval(has_leaves);
        Ok(())
    }

    async fn send_heartbeat(&mut self) -> Result<(), LinkError> {
        let now = self.cx.now();
        // Peers drop the requests of an entry that was suspended, so a new link sends them again.
        if now.saturating_sub(std::mem::replace(&mut self.last_heartbeat_at, now))
            > link::SILENCE_TIMEOUT
        {
            return Err(LinkError::Suspended);
        }
        if now.saturating_sub(self.last_echo_at) > link::SILENCE_TIMEOUT {
            return Err(LinkError::Silent);
        }
        let heartbeat = forward::Message::Heartbeat(forward::Heartbeat {
            sent_at_us: forward::micros(now),
        });
        let others = match self.side {
            Side::Sender => {
                let leaves = self.cx.peers.leaves();
                updates::alive(&self.cx, |vm| leaves.iter().any(|leaf| leaf == vm))
            }
            Side::Relay => updates::alive(&self.cx, |vm| Some(vm) != self.peer.as_deref()),
            Side::Receiver | Side::Leaf => None,
        };
        let messages: Vec<forward::Message> = std::iter::once(heartbeat).chain(others).collect();
        link::send(&mut self.socket, &messages).await
    }

    async fn handle(&mut self, received: link::Received) -> Result<(), LinkError> {
        match received {
            link::Received::Messages(messages) => self.handle_frame(messages).await,
            link::Received::Reply(asked_at) => {
                self.send_times.record_reply(asked_at.min(self.cx.now()));
                Ok(())
            }
            link::Received::Nothing => Ok(()),
        }
    }

    async fn handle_frame(&mut self, messages: Vec<forward::Message>) -> Result<(), LinkError> {
        let mut answers = Vec::new();
        for message in messages {
            self.handle_message(message, &mut answers)?;
        }
        if answers.is_empty() {
            return Ok(());
        }
        // This side sends no heartbeats, so it asks for replies when it answers those of the other.
        if self.side == Side::Receiver {
            link::ping(&mut self.socket, self.cx.now()).await?;
        }
        link::send(&mut self.socket, &answers).await
    }

    /// Handles a message and appends the answers to `answers`.
    fn handle_message(
        &mut self,
        message: forward::Message,
        answers: &mut Vec<forward::Message>,
    ) -> Result<(), LinkError> {
        let now = self.cx.now();
        let sent_at = self.send_times.sent_at(now);
        match message {
            forward::Message::Hello { entry, is_leaf } => {
                let vm = entry.vm.clone();
                self.peer = Some(vm.clone());
                if is_leaf {
                    self.accept_leaf(&vm, answers)?;
                } else {
                    // An entry that was started again is to hear of this one's requests at once.
                    self.cx.peers.reopen.notify_waiters();
                }
                self.apply_update(vm, forward::Message::Hello { entry, is_leaf }, sent_at);
            }
            forward::Message::Heartbeat(heartbeat) => {
                let sender_time = forward::timestamp(heartbeat.sent_at_us);
                self.send_times.record_heartbeat(sender_time, now);
                self.record_told();
                answers.push(self.echo(heartbeat, now));
            }
            forward::Message::Echo {
                sent_at_us,
                entry,
                topics,
            } => {
                let asked_at = forward::timestamp(sent_at_us).min(now);
                answers.extend(self.handle_echo(asked_at, entry, topics, now));
            }
            forward::Message::LiveEntries(heard) => updates::apply_alive(&self.cx, heard, sent_at),
            forward::Message::WantTopic { topic } => {
                answers.extend(catch_up::topic_message(&self.cx, topic, now));
            }
            forward::Message::Topic {
                topic,
                state,
                objects,
            } => {
                let as_of = link::before(self.send_times.sent_after(), state.age_ms);
                catch_up::apply_topic(&self.cx, topic, &state, objects, as_of);
            }
            forward::Message::Reset => {
                let own = &self.cx.settings.vm;
                self.cx.state().loads.retain_entry(own, now);
            }
            forward::Message::Relayed { vm, message } => self.apply_update(vm, *message, sent_at),
            fact => {
                if let Some(vm) = self.peer.clone() {
                    self.apply_update(vm, fact, sent_at);
                }
            }
        }
        Ok(())
    }

    /// Applies an update that an entry sent at `sent_at`, and passes it on to the entries that receive
    /// it through this one.
    fn apply_update(&self, vm: ids::VmId, message: forward::Message, sent_at: ids::Timestamp) {
        // This entry's own state is authoritative.
        if vm == self.cx.settings.vm {
            return;
        }
        updates::apply(&self.cx, &vm, &message, sent_at);
        let source = match self.side {
            Side::Relay => peers::Source::Leaf(&vm),
            Side::Sender | Side::Receiver | Side::Leaf => peers::Source::Relay,
        };
        self.cx
            .peers
            .pass_on(source, &updates::on_behalf_of(&vm, message), sent_at);
    }

    /// Records that the other side has told its requests, which it does before its first heartbeat.
    fn record_told(&self) {
        let mut state = self.cx.state();
        match (self.side, &self.peer) {
            (Side::Receiver, Some(vm)) => state.acquaintance.record_heard(vm),
            (Side::Leaf, _) => state.acquaintance.record_relay(),
            (Side::Receiver | Side::Sender | Side::Relay, _) => {}
        }
    }

    fn accept_leaf(
        &mut self,
        vm: &str,
        answers: &mut Vec<forward::Message>,
    ) -> Result<(), LinkError> {
        if !self.cx.takes_leaf(vm) {
            return Err(LinkError::NotRelay);
        }
        self.side = Side::Relay;
        self.last_heartbeat_at = self.cx.now();
        self.last_echo_at = self.last_heartbeat_at;
        self.rx = Some(self.cx.peers.add_leaf(vm));
        log::emit(&event::Event::LeafTaken {
            vm,
            leaves: self.cx.peers.leaves().len(),
        });
        answers.extend(updates::for_leaf(&self.cx, vm));
        Ok(())
    }

    fn handle_echo(
        &mut self,
        asked_at: ids::Timestamp,
        entry: forward::Entry,
        topics: [Option<forward::TopicState>; forward::TOPICS],
        now: ids::Timestamp,
    ) -> Vec<forward::Message> {
        self.last_echo_at = now;
        self.send_times.record_reply(asked_at);
        if self.side == Side::Leaf {
            self.cx.peers.relay_answered();
        }
        let vm = entry.vm.clone();
        if vm == self.cx.settings.vm {
            return Vec::new();
        }
        self.cx
            .state()
            .live_entries
            .update(&vm, entry.into(), asked_at);
        self.catch_up.observe(&self.cx, topics, asked_at, now)
    }

    fn echo(&self, heartbeat: forward::Heartbeat, now: ids::Timestamp) -> forward::Message {
        // Heartbeats queued while this process was suspended say nothing about their sender's
        // present state, so only echoes of this entry's own heartbeats show that a peer is alive.
        let entry = self.cx.entry();
        let state = self.cx.state();
        let topics = topic::Topic::ALL.map(|topic| state.view.topic_state(topic, now));
        forward::Message::Echo {
            sent_at_us: heartbeat.sent_at_us,
            entry,
            topics,
        }
    }
}

/// Receives a batch of messages to send, no earlier than `not_before`; returns their number, zero
/// if the queue is closed. Never completes without a queue.
async fn next_batch(
    rx: Option<&mut mpsc::Receiver<peers::Queued>>,
    batch: &mut Vec<peers::Queued>,
    not_before: Instant,
) -> usize {
    let Some(rx) = rx else {
        return std::future::pending().await;
    };
    tokio_time::sleep_until(not_before).await;
    rx.recv_many(batch, link::MAX_FRAME_MESSAGES).await
}

//! What two entries say to each other on one link.

use std::sync;

use mustardshed::{core::ids, platform::topic, wire::forward};
use tokio::{
    sync::mpsc,
    time::{self as tokio_time, Instant},
};

use crate::{
    forward::{
        cx,
        link::{self, LinkError, Side, catch_up, facts},
        peers,
    },
    log::{self, event},
};

/// One side of a link.
pub(super) struct Talk {
    cx: sync::Arc<cx::Cx>,
    socket: link::Socket,
    side: Side,
    /// Messages to tell; none on a side that only hears.
    rx: Option<mpsc::Receiver<forward::Message>>,
    /// Who is at the other side, once it has said so.
    vm: Option<ids::VmId>,
    heard_at: ids::Timestamp,
    ticked_at: ids::Timestamp,
    next_frame_at: Instant,
    catch_up: catch_up::CatchUp,
}

impl Talk {
    pub(super) fn new(
        cx: sync::Arc<cx::Cx>,
        socket: link::Socket,
        side: Side,
        rx: Option<mpsc::Receiver<forward::Message>>,
    ) -> Self {
        let now = cx.now();
        Self {
            cx,
            socket,
            side,
            rx,
            vm: None,
            heard_at: now,
            ticked_at: now,
            next_frame_at: Instant::now(),
            catch_up: catch_up::CatchUp::default(),
        }
    }

    /// Talks until the link fails, or until nothing more is to be told.
    pub(super) async fn run(mut self) -> Result<(), LinkError> {
        let greeting = match self.side {
            Side::Teller => facts::of_mesh(&self.cx),
            Side::Leaf => facts::own(&self.cx, true),
            Side::Hearer | Side::Relay => Vec::new(),
        };
        link::send(&mut self.socket, &greeting).await?;
        let mut ticks = tokio_time::interval(link::BEAT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio_time::MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = next_batch(self.rx.as_mut(), &mut batch, self.next_frame_at) => {
                    if count == 0 {
                        return Ok(());
                    }
                    self.tell(&batch).await?;
                    batch.clear();
                }
                messages = link::receive(&mut self.socket) => self.hear(messages?).await?,
                _ = ticks.tick(), if self.side != Side::Hearer => self.beat().await?,
                () = tokio_time::sleep(link::SILENT_AFTER * 2), if self.side == Side::Hearer => {
                    return Err(LinkError::Silent);
                }
            }
        }
    }

    async fn tell(&mut self, batch: &[forward::Message]) -> Result<(), LinkError> {
        link::send(&mut self.socket, batch).await?;
        let has_leaves = self.side == Side::Teller && !self.cx.peers.leaves().is_empty();
        self.next_frame_at = Instant::now() + self.side.frame_interval(has_leaves);
        Ok(())
    }

    async fn beat(&mut self) -> Result<(), LinkError> {
        let now = self.cx.now();
        // Peers have forgotten the work of an entry that stood still; it is told anew.
        if now.saturating_sub(std::mem::replace(&mut self.ticked_at, now)) > link::SILENT_AFTER {
            return Err(LinkError::StoodStill);
        }
        if now.saturating_sub(self.heard_at) > link::SILENT_AFTER {
            return Err(LinkError::Silent);
        }
        let beat = forward::Message::Beat(forward::Beat {
            sent_at_us: forward::micros(now),
        });
        let others = match self.side {
            Side::Teller => {
                let leaves = self.cx.peers.leaves();
                facts::heard(&self.cx, |vm| leaves.iter().any(|leaf| leaf == vm))
            }
            Side::Relay => facts::heard(&self.cx, |vm| Some(vm) != self.vm.as_deref()),
            Side::Hearer | Side::Leaf => None,
        };
        let messages: Vec<forward::Message> = std::iter::once(beat).chain(others).collect();
        link::send(&mut self.socket, &messages).await
    }

    async fn hear(&mut self, messages: Vec<forward::Message>) -> Result<(), LinkError> {
        let mut answers = Vec::new();
        for message in messages {
            self.take(message, &mut answers)?;
        }
        if answers.is_empty() {
            return Ok(());
        }
        link::send(&mut self.socket, &answers).await
    }

    /// Takes a message and adds the answers to it.
    fn take(
        &mut self,
        message: forward::Message,
        answers: &mut Vec<forward::Message>,
    ) -> Result<(), LinkError> {
        let now = self.cx.now();
        match message {
            forward::Message::Hello { entry, is_leaf } => {
                let vm = entry.vm.clone();
                self.vm = Some(vm.clone());
                if is_leaf {
                    self.take_leaf(&vm, answers)?;
                }
                self.fact(vm, forward::Message::Hello { entry, is_leaf }, now);
            }
            forward::Message::Beat(beat) => answers.push(self.echo(beat, now)),
            forward::Message::Echo {
                sent_at_us,
                entry,
                topics,
            } => {
                let asked_at = forward::timestamp(sent_at_us).min(now);
                answers.extend(self.take_echo(asked_at, entry, topics, now));
            }
            forward::Message::Heard(heard) => facts::take_heard(&self.cx, heard, now),
            forward::Message::WantTopic { topic } => {
                answers.extend(catch_up::topic(&self.cx, topic, now));
            }
            forward::Message::Topic {
                topic,
                state,
                objects,
            } => catch_up::take_topic(&self.cx, topic, state, objects),
            forward::Message::Afresh => {
                let own = &self.cx.settings.vm;
                self.cx.state().ledger.retain_entry(own, now);
            }
            forward::Message::Of { vm, message } => self.fact(vm, *message, now),
            fact => {
                if let Some(vm) = self.vm.clone() {
                    self.fact(vm, fact, now);
                }
            }
        }
        Ok(())
    }

    /// Takes what an entry tells, and passes it on to those who hear it through this one.
    fn fact(&self, vm: ids::VmId, message: forward::Message, now: ids::Timestamp) {
        // What this entry did itself it knows better.
        if vm == self.cx.settings.vm {
            return;
        }
        facts::take(&self.cx, &vm, &message, now);
        let source = match self.side {
            Side::Relay => peers::Source::Leaf(&vm),
            Side::Teller | Side::Hearer | Side::Leaf => peers::Source::Relay,
        };
        self.cx.peers.pass_on(source, &facts::of(&vm, message));
    }

    fn take_leaf(
        &mut self,
        vm: &str,
        answers: &mut Vec<forward::Message>,
    ) -> Result<(), LinkError> {
        if !self.cx.takes_leaf(vm) {
            return Err(LinkError::NoRelay);
        }
        self.side = Side::Relay;
        self.ticked_at = self.cx.now();
        self.heard_at = self.ticked_at;
        self.rx = Some(self.cx.peers.take_leaf(vm));
        log::emit(&event::Event::LeafTaken {
            vm,
            leaves: self.cx.peers.leaves().len(),
        });
        answers.extend(facts::of_all_but(&self.cx, vm));
        Ok(())
    }

    fn take_echo(
        &mut self,
        asked_at: ids::Timestamp,
        entry: forward::Entry,
        topics: [Option<forward::TopicState>; forward::TOPICS],
        now: ids::Timestamp,
    ) -> Vec<forward::Message> {
        self.heard_at = now;
        if self.side == Side::Leaf {
            self.cx.peers.relay_answered();
        }
        let vm = entry.vm.clone();
        if vm == self.cx.settings.vm {
            return Vec::new();
        }
        self.cx.state().roster.update(&vm, entry.into(), asked_at);
        self.catch_up.take(&self.cx, topics, asked_at, now)
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
}

/// Waits for messages to tell, not before `not_before`; never ends without a queue.
async fn next_batch(
    rx: Option<&mut mpsc::Receiver<forward::Message>>,
    batch: &mut Vec<forward::Message>,
    not_before: Instant,
) -> usize {
    let Some(rx) = rx else {
        return std::future::pending().await;
    };
    tokio_time::sleep_until(not_before).await;
    rx.recv_many(batch, link::FRAME_MESSAGES).await
}

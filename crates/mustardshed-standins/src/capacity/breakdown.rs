//! Breakdown of the bytes by message and of the CPU time by call.

use std::{collections, time};

use mustardshed::core::{
    ids,
    process::{event, message},
};

/// Totals under one name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Number of messages, facts or calls.
    pub count: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// CPU time.
    pub cpu: time::Duration,
}

impl Part {
    /// Returns the difference from an earlier count.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            count: self.count.saturating_sub(earlier.count),
            bytes: self.bytes.saturating_sub(earlier.bytes),
            cpu: self.cpu.saturating_sub(earlier.cpu),
        }
    }
}

/// Totals by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Breakdown {
    parts: collections::BTreeMap<&'static str, Part>,
}

impl Breakdown {
    /// Counts one message, fact or call.
    pub fn add(&mut self, name: &'static str, bytes: usize, cpu: time::Duration) {
        let part = self.parts.entry(name).or_default();
        part.count += 1;
        part.bytes += bytes as u64;
        part.cpu += cpu;
    }

    /// Counts the facts of a heartbeat sent by `sender`.
    pub fn add_facts(&mut self, sender: &ids::VmId, message: &message::Message) {
        let message::Message::Heartbeat(heartbeat) = message else {
            return;
        };
        for fact in &heartbeat.facts {
            let is_own = fact.author == *sender;
            self.add(fact_name(fact, is_own), 0, time::Duration::ZERO);
        }
    }

    /// Returns each part as the difference from an earlier count.
    pub fn since<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = (&'static str, Part)> + 'a {
        self.parts.iter().map(|(name, part)| {
            let before = earlier.parts.get(name).copied().unwrap_or_default();
            (*name, part.since(&before))
        })
    }
}

/// Returns the name under which a sent message is counted.
pub const fn message_name(message: &message::Message) -> &'static str {
    match message {
        message::Message::Heartbeat(_) => "send heartbeat",
        message::Message::HeartbeatAck(_) => "send heartbeat_ack",
        message::Message::WantConfiguration { .. } => "send want_configuration",
        message::Message::Configuration(_) => "send configuration",
        message::Message::Intent(_) => "send intent",
        message::Message::Acquire { .. } => "send acquire",
        message::Message::Acquired { .. } => "send acquired",
        message::Message::Release { .. } => "send release",
        message::Message::WantHeldCredits { .. } => "send want_held_credits",
        message::Message::HeldCredits { .. } => "send held_credits",
        message::Message::ColdSign { .. } => "send cold_sign",
        message::Message::WantFate { .. } => "send want_fate",
        message::Message::FateIs { .. } => "send fate_is",
    }
}

/// Returns the name under which the handling of an event is counted.
pub const fn event_name(event: &event::Event) -> &'static str {
    match event {
        event::Event::Tick => "handle tick",
        event::Event::Peer { message, .. } => match message {
            message::Message::Heartbeat(_) => "handle heartbeat",
            message::Message::HeartbeatAck(_) => "handle heartbeat_ack",
            message::Message::Acquire { .. } => "handle acquire of a peer",
            message::Message::Acquired { .. } => "handle acquired",
            message::Message::Release { .. } => "handle release of a peer",
            message::Message::HeldCredits { .. } => "handle held_credits",
            _ => "handle other message",
        },
        event::Event::ConfigurationRead { .. } => "handle configuration_read",
        event::Event::VmsRead { .. } => "handle vms_read",
        event::Event::LoadRead { .. } => "handle load_read",
        event::Event::Acquire { .. } => "handle acquire",
        event::Event::Release { .. } => "handle release",
        _ => "handle other event",
    }
}

const fn fact_name(fact: &message::Fact, is_own: bool) -> &'static str {
    match (&fact.body, is_own) {
        (message::FactBody::Alive { .. }, true) => "fact alive, own",
        (message::FactBody::Alive { .. }, false) => "fact alive, relayed",
        (message::FactBody::StillAlive { .. }, true) => "fact still alive, own",
        (message::FactBody::StillAlive { .. }, false) => "fact still alive, relayed",
        (message::FactBody::Busy { .. }, true) => "fact busy, own",
        (message::FactBody::Busy { .. }, false) => "fact busy, relayed",
        (message::FactBody::Load { .. }, true) => "fact load, own",
        (message::FactBody::Load { .. }, false) => "fact load, relayed",
    }
}

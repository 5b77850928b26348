//! Fetches platform changes that a peer has read and this entry has not.

use std::{collections, time};

use mustardshed::{
    core::ids,
    platform::{objects, topic},
    wire::forward,
};

use crate::{
    forward::{cx, view},
    log::{self, event},
};

/// Time that this entry's own watch has to deliver a change known to a peer before the peer is
/// asked for it: the watch is quicker unless it fails.
const OWN_WATCH_GRACE: time::Duration = time::Duration::from_millis(300);
/// Shortest interval between two requests for the same kind of objects.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How far one peer's view of the platform is ahead of this entry's, per kind of objects.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    /// When the peer was first seen to know a later change.
    behind_since: [Option<ids::Timestamp>; forward::TOPICS],
    requested_at: [ids::Timestamp; forward::TOPICS],
    /// Whether the peer last reported that the platform does not answer it.
    was_failing: [bool; forward::TOPICS],
}

impl CatchUp {
    /// Compares how far the peer had read at `asked_at` with this entry's view; returns the
    /// requests for the kinds to fetch from it.
    pub(super) fn observe(
        &mut self,
        cx: &cx::Cx,
        topics: [Option<forward::TopicState>; forward::TOPICS],
        asked_at: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Vec<forward::Message> {
        let is_leaf = cx.peers.has_relay();
        let mut state = cx.state();
        let mut requests = Vec::new();
        for (topic, read) in topic::Topic::ALL.into_iter().zip(topics) {
            let Some(read) = read else {
                continue;
            };
            let index = topic.index();
            if std::mem::replace(&mut self.was_failing[index], read.is_failing) && !read.is_failing
            {
                cx.platform_recovered.notify_waiters();
            }
            if !state.view.observe_peer(topic, read, asked_at, is_leaf) {
                self.behind_since[index] = None;
                continue;
            }
            let since = *self.behind_since[index].get_or_insert(now);
            // A leaf has no watch of its own to wait for.
            let is_late = is_leaf || now.saturating_sub(since) >= OWN_WATCH_GRACE;
            let is_due = now.saturating_sub(self.requested_at[index]) >= REQUEST_INTERVAL;
            if is_late && is_due {
                self.requested_at[index] = now;
                requests.push(forward::Message::WantTopic { topic: index });
            }
        }
        requests
    }
}

/// Applies the objects of a kind that a peer has sent, which are the latest as of `as_of`.
pub(super) fn apply_topic(
    cx: &cx::Cx,
    topic: usize,
    state: &forward::TopicState,
    objects: Vec<forward::Object>,
    as_of: ids::Timestamp,
) {
    let Some(topic) = topic::Topic::from_index(topic) else {
        return;
    };
    let all = objects.len();
    let named = objects.into_iter().filter(|object| !object.name.is_empty());
    let objects = named.map(|object| {
        let object = objects::Object {
            name: object.name,
            position: objects::Position {
                era: object.era,
                revision: object.revision,
            },
            content: object.content,
        };
        (object.name.clone(), object)
    });
    let objects: collections::BTreeMap<String, objects::Object> = objects.collect();
    let unnamed = all - objects.len();
    // Entries of earlier versions keep the former state of an object whose change names none.
    if unnamed > 0 && topic == topic::Topic::Configuration {
        let kind = topic.kind();
        let count = unnamed;
        return log::emit(&event::Event::ObjectsUnnamed { kind, count });
    }
    let listing = objects::Listing {
        objects,
        position: view::position(state),
        unnamed,
        gap: None,
    };
    let now = cx.now();
    let effects = cx.state().view.apply_listing(topic, listing, as_of, now);
    if topic == topic::Topic::Servers {
        cx.state().assign_servers();
    }
    for (server, left) in effects.cold {
        cx.report_cold(&server, left);
    }
    cx.refreshed.notify_waiters();
}

/// Returns the message that sends the objects of a kind to a peer; none if the kind was never read.
pub(super) fn topic_message(
    cx: &cx::Cx,
    index: usize,
    now: ids::Timestamp,
) -> Option<forward::Message> {
    let topic = topic::Topic::from_index(index)?;
    let state = cx.state();
    Some(forward::Message::Topic {
        topic: index,
        state: state.view.topic_state(topic, now)?,
        objects: state.view.objects(topic),
    })
}

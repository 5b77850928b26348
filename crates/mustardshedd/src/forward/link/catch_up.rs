//! Fetches platform changes that a peer has read and this entry has not.

use std::time;

use mustardshed::{
    core::ids,
    platform::{objects, topic},
    wire::forward,
};

use crate::forward::{cx, link};

/// Time that this entry's own watch has to deliver a change known to a peer before the peer is
/// asked for it: the watch is quicker unless it fails.
const ASK_PEER_AFTER: time::Duration = time::Duration::from_millis(300);
/// Shortest interval between two requests for the same kind of objects.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How far one peer's view of the platform is ahead of this entry's, per kind of objects.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    /// When the peer was first seen to know a later change.
    behind_since: [Option<ids::Timestamp>; forward::TOPICS],
    asked_at: [ids::Timestamp; forward::TOPICS],
    /// Whether the peer last reported that the platform does not answer it.
    was_failing: [bool; forward::TOPICS],
}

impl CatchUp {
    /// Compares how far the peer had read at `asked_at` with this entry's view; returns the
    /// requests for the kinds to fetch from it.
    pub(super) fn take(
        &mut self,
        cx: &cx::Cx,
        topics: [Option<forward::TopicState>; forward::TOPICS],
        asked_at: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Vec<forward::Message> {
        let is_leaf = cx.peers.hears_relay();
        let mut state = cx.state();
        let mut wanted = Vec::new();
        for (topic, read) in topic::Topic::ALL.into_iter().zip(topics) {
            let Some(read) = read else {
                continue;
            };
            let index = topic.index();
            if std::mem::replace(&mut self.was_failing[index], read.is_failing) && !read.is_failing
            {
                cx.returned.notify_waiters();
            }
            if !state.view.peer_read(topic, read, asked_at, is_leaf) {
                self.behind_since[index] = None;
                continue;
            }
            let since = *self.behind_since[index].get_or_insert(now);
            // A leaf has no watch of its own to wait for.
            let is_late = is_leaf || now.saturating_sub(since) >= ASK_PEER_AFTER;
            let is_due = now.saturating_sub(self.asked_at[index]) >= ASK_INTERVAL;
            if is_late && is_due {
                self.asked_at[index] = now;
                wanted.push(forward::Message::WantTopic { topic: index });
            }
        }
        wanted
    }
}

/// Applies the objects of a kind that a peer has sent.
pub(super) fn take_topic(
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
    // The answer is younger than the silence that ends a link.
    let as_of = link::before(now, state.age_ms).saturating_sub(link::SILENT_AFTER);
    let noticed = cx.state().view.listed(topic, listing, as_of, now);
    for (server, left) in noticed.cold {
        cx.cold(&server, left);
    }
    cx.looked.notify_waiters();
}

/// Returns the message that sends the objects of a kind to a peer; none if the kind was never read.
pub(super) fn topic(cx: &cx::Cx, index: usize, now: ids::Timestamp) -> Option<forward::Message> {
    let topic = topic::Topic::from_index(index)?;
    let state = cx.state();
    Some(forward::Message::Topic {
        topic: index,
        state: state.view.state(topic, now)?,
        objects: state.view.objects(topic),
    })
}

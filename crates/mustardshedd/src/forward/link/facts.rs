//! What entries tell of their work and of servers.

use std::time;

use mustardshed::{core::ids, wire::forward};

use crate::forward::{cx, link};

/// Takes what `vm` tells of its work, or of a server.
pub(super) fn take(cx: &cx::Cx, vm: &str, message: &forward::Message, now: ids::Timestamp) {
    let mut state = cx.state();
    match message {
        forward::Message::Hello { .. } => state.ledger.remove_entry(vm, now),
        forward::Message::Started { number, job } => {
            let key = forward::job_key(vm, *number);
            state.ledger.start(key, job.clone().heard(now), now);
        }
        forward::Message::FirstEvent { number } => {
            let key = forward::job_key(vm, *number);
            state.ledger.record_first_event(&key, now);
        }
        forward::Message::Ended { number } => {
            let key = forward::job_key(vm, *number);
            state.ledger.end(&key, now);
        }
        forward::Message::Unreachable { server } => {
            state.ledger.health_mut(server).record_unreachable(now);
        }
        forward::Message::Cold { server, left_ms } => {
            let until = now + time::Duration::from_millis(*left_ms);
            state.ledger.health_mut(server).set_cold(until);
        }
        forward::Message::Pace { server, pace } => {
            state.ledger.health_mut(server).set_slowdown(*pace);
        }
        forward::Message::Leaving { server, born } => {
            state.notices.record_leaving(server, *born, now);
        }
        _ => {}
    }
}

/// Takes which entries are alive.
pub(super) fn take_heard(cx: &cx::Cx, heard: Vec<forward::Heard>, now: ids::Timestamp) {
    let mut state = cx.state();
    for heard in heard {
        let vm = heard.entry.vm.clone();
        if vm != cx.settings.vm {
            let as_of = link::before(now, heard.age_ms);
            state.roster.update(&vm, heard.entry.into(), as_of);
        }
    }
}

/// Returns this entry's work, and that of its leaves, as it is told to another entry of the mesh.
pub(super) fn of_mesh(cx: &cx::Cx) -> Vec<forward::Message> {
    let now = cx.now();
    let mut messages = own(cx, false);
    let leaves = cx.peers.leaves();
    let state = cx.state();
    for vm in leaves {
        let Some((entry, _)) = state.roster.get(&vm, now) else {
            continue;
        };
        let hello = forward::Message::Hello {
            entry: forward::Entry::named(&vm, entry.clone()),
            is_leaf: true,
        };
        messages.push(of(&vm, hello));
        let jobs = state.ledger.jobs_of(&vm);
        messages.extend(jobs.map(|(key, job)| of(&vm, started(key.number, job, now))));
    }
    messages
}

/// Returns who this is and this entry's own work.
pub(super) fn own(cx: &cx::Cx, is_leaf: bool) -> Vec<forward::Message> {
    let now = cx.now();
    let entry = cx.entry();
    let mut messages = vec![forward::Message::Hello { entry, is_leaf }];
    let state = cx.state();
    let jobs = state.ledger.jobs_of(&cx.settings.vm);
    messages.extend(jobs.map(|(key, job)| started(key.number, job, now)));
    messages
}

/// Returns the work of all but one entry, as it is told to that one.
pub(super) fn of_all_but(cx: &cx::Cx, leaf: &str) -> Vec<forward::Message> {
    let now = cx.now();
    let mut messages = vec![forward::Message::Afresh];
    let state = cx.state();
    let jobs = state.ledger.jobs().filter(|(key, _)| key.vm != leaf);
    messages.extend(jobs.map(|(key, job)| of(&key.vm, started(key.number, job, now))));
    messages
}

/// Returns the entries that are alive, as far as `is_told` says that the other side is to hear of
/// them.
pub(super) fn heard(cx: &cx::Cx, is_told: impl Fn(&str) -> bool) -> Option<forward::Message> {
    let now = cx.now();
    let state = cx.state();
    let vms = state.roster.alive(now).filter(|vm| is_told(vm));
    let heard = vms.filter_map(|vm| {
        let (entry, at) = state.roster.get(vm, now)?;
        Some(forward::Heard {
            entry: forward::Entry::named(vm, entry.clone()),
            age_ms: link::age_ms(now.saturating_sub(at)),
        })
    });
    let heard: Vec<forward::Heard> = heard.collect();
    (!heard.is_empty()).then_some(forward::Message::Heard(heard))
}

/// Returns a message of another entry as it is passed on.
pub(super) fn of(vm: &str, message: forward::Message) -> forward::Message {
    forward::Message::Of {
        vm: vm.to_owned(),
        message: Box::new(message),
    }
}

fn started(
    number: u64,
    job: &mustardshed::core::forward::load_tracker::Job,
    now: ids::Timestamp,
) -> forward::Message {
    forward::Message::Started {
        number,
        job: forward::Job::told(job, now),
    }
}

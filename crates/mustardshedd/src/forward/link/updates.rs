//! Updates that entries exchange about their requests in flight and about servers.

use std::{sync, time};

use mustardshed::{
    core::{
        forward::{load_tracker, quarantine, repeated_crashes},
        ids,
    },
    wire::forward,
};

use crate::forward::{cx, link};

/// Applies an update that `vm` sent at `sent_at`, about one of its requests or about a server.
pub(super) fn apply(
    cx: &sync::Arc<cx::Cx>,
    vm: &str,
    message: &forward::Message,
    sent_at: ids::Timestamp,
) {
    if apply_crash(cx, message, sent_at) {
        return;
    }
    let now = cx.now();
    let mut state = cx.state();
    match message {
        forward::Message::Hello { .. } => state.loads.remove_entry(vm, now),
        forward::Message::Started { number, job } => {
            let key = forward::job_key(vm, *number);
            state.loads.start(key, job.clone().into_job(sent_at), now);
            for later in job.later_work() {
                state.loads.adopt(&later, now);
            }
        }
        forward::Message::FirstEvent { number } => {
            let key = forward::job_key(vm, *number);
            state.loads.record_first_event(&key, now);
        }
        forward::Message::Ended { number } => {
            let key = forward::job_key(vm, *number);
            state.loads.end(&key, now);
        }
        forward::Message::Unreachable { server } => {
            // This entry may reach it though others do not.
            let is_refuted = state.paths.has_just_connected(server, now);
            drop(state);
            if !is_refuted {
                cx.eject(server, vm);
            }
        }
        forward::Message::Cold { server, left_ms } => {
            // Counted from the receipt: a server that seems warm too early gets too much work.
            let until = now + time::Duration::from_millis(*left_ms);
            state.loads.health_mut(server).set_cold(until);
        }
        forward::Message::Slowdown { server, slowdown } => {
            state.loads.health_mut(server).set_slowdown(*slowdown);
        }
        forward::Message::Leaving {
            server,
            started_unix_ms,
        } => {
            state.notices.record_leaving(server, *started_unix_ms, now);
        }
        forward::Message::RateLimit {
            server,
            per_s,
            age_ms,
        } => {
            let as_of = link::before(sent_at, *age_ms);
            let limits = &mut state.advertised_limits;
            limits.record_from_peer(server, *per_s, as_of);
        }
        _ => {}
    }
}

/// Applies an update about crashes of servers that was sent at `sent_at`; returns whether it is one.
fn apply_crash(
    cx: &sync::Arc<cx::Cx>,
    message: &forward::Message,
    sent_at: ids::Timestamp,
) -> bool {
    match message {
        forward::Message::Crashed {
            server,
            age_ms,
            suspects,
            requests,
            started_unix_ms,
        } => {
            let at = link::before(sent_at, *age_ms);
            let suspects = suspects.iter().map(Vec::as_slice);
            let attempts = requests.iter().copied();
            cx.record_repeated_crash(repeated_crashes::Crash {
                server: server.clone(),
                started_unix_ms: *started_unix_ms,
                at,
                attempts: attempts.map(repeated_crashes::Attempt::from).collect(),
            });
            cx.record_crash(quarantine::Crash {
                server: server.clone(),
                started_unix_ms: *started_unix_ms,
                at,
                suspects: suspects.filter_map(quarantine::Suspect::new).collect(),
            });
        }
        forward::Message::Answered {
            parts,
            requests,
            age_ms,
        } => {
            let at = link::before(sent_at, *age_ms);
            let mut state = cx.state();
            state.quarantine.record_peer_answer(parts, at);
            for request in requests {
                state.repeated_crashes.record_answer((*request).into(), at);
            }
        }
        forward::Message::Quarantined { parts, age_ms } => {
            cx.adopt_quarantine(quarantine::Culprit {
                parts: parts.clone(),
                crashed_at: link::before(sent_at, *age_ms),
            });
        }
        _ => return false,
    }
    true
}

/// Records which entries a peer knew to be alive when it sent this at `sent_at`.
pub(super) fn apply_alive(cx: &cx::Cx, heard: Vec<forward::LiveEntry>, sent_at: ids::Timestamp) {
    let mut state = cx.state();
    for heard in heard {
        let vm = heard.entry.vm.clone();
        if vm != cx.settings.vm {
            let as_of = link::before(sent_at, heard.age_ms);
            state.live_entries.update(&vm, heard.entry.into(), as_of);
        }
    }
}

/// Returns the requests of this entry and of its leaves, for another entry of the mesh.
pub(super) fn for_mesh(cx: &cx::Cx) -> Vec<forward::Message> {
    let now = cx.now();
    let mut messages = own(cx, false);
    let leaves = cx.peers.leaves();
    let state = cx.state();
    for vm in leaves {
        let Some((entry, _)) = state.live_entries.get(&vm, now) else {
            continue;
        };
        let hello = forward::Message::Hello {
            entry: forward::Entry::new(&vm, entry.clone()),
            is_leaf: true,
        };
        messages.push(on_behalf_of(&vm, hello));
        let jobs = state.loads.jobs_of(&vm);
        messages.extend(jobs.map(|(key, job)| on_behalf_of(&vm, started(&state, key, job, now))));
    }
    messages
}

/// Returns this entry's hello and its own requests.
pub(super) fn own(cx: &cx::Cx, is_leaf: bool) -> Vec<forward::Message> {
    let now = cx.now();
    let entry = cx.entry();
    let mut messages = vec![forward::Message::Hello { entry, is_leaf }];
    let state = cx.state();
    messages.extend(rate_limits(&state, now));
    messages.extend(crashes(&state, now));
    let jobs = state.loads.jobs_of(&cx.settings.vm);
    messages.extend(jobs.map(|(key, job)| started(&state, key, job, now)));
    messages
}

/// Returns the requests of all entries but the leaf `leaf`, for that leaf.
pub(super) fn for_leaf(cx: &cx::Cx, leaf: &str) -> Vec<forward::Message> {
    let now = cx.now();
    let mut messages = vec![forward::Message::Reset];
    let state = cx.state();
    let own = &cx.settings.vm;
    let about_servers = rate_limits(&state, now).chain(crashes(&state, now));
    messages.extend(about_servers.map(|message| on_behalf_of(own, message)));
    let jobs = state.loads.jobs().filter(|(key, _)| key.vm != leaf);
    messages.extend(jobs.map(|(key, job)| on_behalf_of(&key.vm, started(&state, key, job, now))));
    messages
}

/// Returns the live entries for which `includes` returns true, with the ages of their last signs of
/// life; none if there are no such entries.
pub(super) fn alive(cx: &cx::Cx, includes: impl Fn(&str) -> bool) -> Option<forward::Message> {
    let now = cx.now();
    let state = cx.state();
    let vms = state.live_entries.alive(now).filter(|vm| includes(vm));
    let heard = vms.filter_map(|vm| {
        let (entry, at) = state.live_entries.get(vm, now)?;
        Some(forward::LiveEntry {
            entry: forward::Entry::new(vm, entry.clone()),
            age_ms: link::age_ms(now.saturating_sub(at)),
        })
    });
    let heard: Vec<forward::LiveEntry> = heard.collect();
    (!heard.is_empty()).then_some(forward::Message::LiveEntries(heard))
}

/// Wraps a message to pass it on for another entry.
pub(super) fn on_behalf_of(vm: &str, message: forward::Message) -> forward::Message {
    forward::Message::Relayed {
        vm: vm.to_owned(),
        message: Box::new(message),
    }
}

/// Returns the rate limits that servers advertise, for a peer.
fn rate_limits(state: &cx::State, now: ids::Timestamp) -> impl Iterator<Item = forward::Message> {
    let limits = state.advertised_limits.all(now);
    limits.map(move |(server, per_s, at)| forward::Message::RateLimit {
        server: server.clone(),
        per_s: Some(per_s),
        age_ms: link::age_ms(now.saturating_sub(at)),
    })
}

/// Returns the known crashes of servers and what is quarantined because of them, for a peer.
fn crashes(state: &cx::State, now: ids::Timestamp) -> impl Iterator<Item = forward::Message> {
    let repeated = state.repeated_crashes.crashes();
    let repeated = repeated.map(move |crash| forward::Message::Crashed {
        server: crash.server.clone(),
        age_ms: link::age_ms(now.saturating_sub(crash.at)),
        suspects: Vec::new(),
        requests: crash.attempts.iter().copied().map(Into::into).collect(),
        started_unix_ms: crash.started_unix_ms,
    });
    let crashes = state.quarantine.crashes();
    let crashes = crashes.map(move |crash| forward::Message::Crashed {
        server: crash.server.clone(),
        age_ms: link::age_ms(now.saturating_sub(crash.at)),
        suspects: crash
            .suspects
            .iter()
            .map(quarantine::Suspect::parts)
            .collect(),
        requests: Vec::new(),
        started_unix_ms: crash.started_unix_ms,
    });
    let culprits = state.quarantine.culprits().iter();
    // Entries of earlier versions keep the last crashes only, so those with parts come last.
    let crashes = repeated.chain(crashes);
    crashes.chain(culprits.map(move |culprit| forward::Message::Quarantined {
        parts: culprit.parts.clone(),
        age_ms: link::age_ms(now.saturating_sub(culprit.crashed_at)),
    }))
}

/// Returns a request in flight with what a new link must be told of it.
fn started(
    state: &cx::State,
    key: &load_tracker::JobKey,
    job: &load_tracker::Job,
    now: ids::Timestamp,
) -> forward::Message {
    let mut sent = forward::Job::new(job, now);
    if let Some(protection) = &job.protection {
        let profile = state.engine_of(&job.primary);
        let spare_left = profile.map(|profile| state.loads.spare_left(key, profile));
        let later = state.loads.later_work(key);
        sent = sent.with_later_work(later, spare_left.unwrap_or(protection.spare));
    }
    forward::Message::Started {
        number: key.number,
        job: sent,
    }
}

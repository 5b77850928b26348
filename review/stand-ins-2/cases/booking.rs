//! One runner of seven fails part of its requests, after it has run them, with 503.

use std::{
    collections::HashMap,
    sync::mpsc,
    thread,
    time::Duration,
};

use super::{configuration, head};
use crate::{
    fleet::{self, Record},
    http,
    store::Store,
};

/// Runners of the application; one of them is 14 in 100.
const RUNNERS: usize = 7;
/// Bookings that are made.
const BOOKINGS: usize = 140;
/// Bookings before the disruption.
const CALM_BOOKINGS: usize = 30;
/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let folder = fleet::Folder::create();
    let store = Store::open();
    store.put("config", "main", &configuration(7, "desk"));
    let zones = ["erie-side", "huron-side", "michigan-side"];
    let (tx, arrivals) = mpsc::channel();
    let mut runners: Vec<fleet::Runner> = (0..RUNNERS)
        .map(|i| fleet::start_runner(&store, &format!("i-d{i}"), "desk", zones[i % 3], "sound", &tx))
        .collect();
    let entries = fleet::start_entries(&folder, &store, &zones.map(str::to_owned));
    if !entries.iter().all(fleet::Entry::wait_until_ready) {
        record.say("an entry did not get ready");
        return None;
    }
    thread::sleep(Duration::from_millis(3_500));

    let mut statuses: HashMap<String, u16> = HashMap::new();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for n in 0..BOOKINGS {
        if has_trouble && n == CALM_BOOKINGS {
            // A runner that gets bookings turns grey.
            let mut busiest: HashMap<String, usize> = HashMap::new();
            for arrival in arrivals.try_iter() {
                *busiest.entry(arrival.runner).or_default() += 1;
                *runs.entry(arrival.request).or_default() += 1;
            }
            let id = busiest.into_iter().max_by_key(|(_, count)| *count)?.0;
            record.line(format!("runner {id} turns grey"));
            runners.iter_mut().find(|runner| runner.id == id)?.turn_grey();
        }
        // Clients send a booking once more after a status that promises that it has not run.
        for attempt in 0..2 {
            let id = format!("booking-{n}-attempt-{attempt}");
            let entry = &entries[(n + attempt) % entries.len()];
            let answer = http::call(entry.front, &head("POST", "/book/2f", &id, 1_000, ""), b"one ton of ice", Duration::from_secs(2));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!("{id} at {}: {status}", entry.name));
            statuses.insert(id, status);
            if !PROMISES.contains(&status) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(1));
    for arrival in arrivals.try_iter() {
        record.line(format!("runner {} has run {}", arrival.runner, arrival.request));
        *runs.entry(arrival.request).or_default() += 1;
    }
    let refused = statuses.iter().filter(|(id, status)| PROMISES.contains(status) && runs.contains_key(*id));
    let refused = refused.count();
    let booked_twice = (0..BOOKINGS).filter(|n| {
        let of_attempt = |attempt| runs.contains_key(&format!("booking-{n}-attempt-{attempt}"));
        of_attempt(0) && of_attempt(1)
    });
    record.say(format!("{} attempts, {} runs, {refused} answered with a promise although they have run", statuses.len(), runs.values().sum::<usize>()));
    record.say(format!("{} bookings of {BOOKINGS} were stored twice, as their clients sent them once more", booked_twice.count()));
    Some(refused > 0)
}

//! The cases of the review that are scripts.

use std::thread;

use crate::{Client, Deployment, Entry, KEY, Record, Sent, Streamed, ms, sleep_until};

const TENANT: &str = "hule930";
const ZONES: [&str; 3] = ["erie-side", "huron-side", "michigan-side"];

pub fn run(case: &str, root: &str, dir: &str, record: &Record, trouble: bool) -> i32 {
    record.line(format!("case {case}, trouble: {trouble}"));
    let mut f = Deployment::open(root, dir, record).expect("store and proxy");
    match case {
        "late-streams" => late_streams(&mut f, trouble),
        "silent-store" => silent_store(&mut f, trouble),
        "unread-configuration" => unread_configuration(&mut f, trouble),
        _ => 2,
    }
}

/// Returns a configuration with one tenant and the service `desk` on `/book/`.
fn config(version: u64, priority: u32, tenant: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("{key:?}")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"book","host":"shed.example","path_prefix":"/book/","route_type":"non_idempotent","timeout_ms":5000,"target_latency_ms":100,"priority":2,"service":"desk","max_attempts":2,"public":false,"resumable":false}}],
"services":[{{"name":"desk","max_connections":100,"health_path":"/healthz"}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"{tenant}","api_keys":[{keys}],"priority":{priority}}}]}}"#
    )
}

fn failed(sent: &[Sent]) -> usize {
    sent.iter().filter(|it| it.outcome != Ok(200)).count()
}

/// DRAIN: all open connections to the store go silent, and then a server drains.
fn silent_store(f: &mut Deployment, trouble: bool) -> i32 {
    const DRAIN_S: f64 = 2.0;
    const STABLE_S: f64 = 3.0;
    /// How much longer than `drain_ms` the leaving server serves.
    const LINGER_S: f64 = 0.6;
    let work = ms(400);
    let record = f.record.clone();
    f.store.put("config", "main", &config(1, 2, TENANT, &[KEY]));
    let old = f.server("i-old", work);
    let kept = f.server("i-kept", work);
    f.store.put(
        "servers",
        &old.id,
        &old.registration("desk", ZONES[0], "ready", 0),
    );
    f.store.put(
        "servers",
        &kept.id,
        &kept.registration("desk", ZONES[1], "ready", 0),
    );
    if !f.start_entries(&ZONES) {
        return 2;
    }
    // All machines are in touch: stable_window_ms since their start.
    thread::sleep(ms(4_000));
    let warm_up = f.send_all("warm-", 6, ms(50), "/book/a", 1_000);
    if failed(&warm_up) > 0 {
        return 2;
    }
    // A release: the new server starts first, then the old one drains.
    let new = f.server("i-new", work);
    f.store.put(
        "servers",
        &new.id,
        &new.registration("desk", ZONES[0], "ready", 0),
    );
    record.line("the new server i-new is ready");
    thread::sleep(ms(300));
    let silent_at = record.now();
    if trouble {
        let count = f.proxy.silence_open_connections();
        record.line(format!(
            "the {count} open connections to the store go silent; new ones work"
        ));
    }
    thread::sleep(ms(900));
    old.leave();
    f.store.put(
        "servers",
        &old.id,
        &old.registration("desk", ZONES[0], "draining", 0),
    );
    let drained_at = record.line("the store has accepted that server i-old is draining");
    let due_at = (drained_at + DRAIN_S).max(silent_at + STABLE_S);
    record.line(format!(
        "by {due_at:.3} s no request may reach i-old: drain_ms after the acknowledgement, and all \
         machines in touch for stable_window_ms after their connections went silent"
    ));
    sleep_until(&record, due_at + 0.15);
    let clients = thread::scope(|scope| {
        let sending = scope.spawn(|| f.send_all("book-", 9, ms(40), "/book/a", 1_000));
        sleep_until(&record, drained_at + DRAIN_S + LINGER_S);
        old.exit();
        record.line("server i-old has ended");
        sending.join().expect("clients")
    });
    let arrivals = f.arrivals.lock().unwrap().clone();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|it| it.server == "i-old" && !it.is_rejected && it.at > due_at)
        .filter(|it| {
            clients
                .iter()
                .any(|sent| sent.id == it.id && sent.at > due_at)
        })
        .collect();
    record.line(format!(
        "{} of {} requests reached i-old too late; {} of them were not answered by a server",
        late.len(),
        clients.len(),
        clients
            .iter()
            .filter(|sent| sent.outcome != Ok(200) && late.iter().any(|it| it.id == sent.id))
            .count()
    ));
    i32::from(!late.is_empty())
}

/// CONFIG: a version takes a key away, and gives a tenant the rank 300.
fn unread_configuration(f: &mut Deployment, trouble: bool) -> i32 {
    const REVOKE_S: f64 = 5.0;
    const TAKEN: &str = "key-taken";
    let record = f.record.clone();
    f.store
        .put("config", "main", &config(1, 2, TENANT, &[KEY, TAKEN]));
    let servers = [f.server("i-a", ms(15)), f.server("i-b", ms(15))];
    for (server, zone) in servers.iter().zip(ZONES) {
        let entry = server.registration("desk", zone, "ready", 0);
        f.store.put("servers", &server.id, &entry);
    }
    if !f.start_entries(&ZONES) {
        return 2;
    }
    thread::sleep(ms(4_000));
    let before = f.send_keyed("before-", 3, ms(50), "/book/a", 1_000, TAKEN);
    if failed(&before) > 0 {
        return 2;
    }
    let rank = if trouble { 300 } else { 2 };
    f.store
        .put("config", "main", &config(2, rank, TENANT, &[KEY]));
    let taken_at = record.line(format!(
        "the store has accepted version 2, which takes {TAKEN} away; the tenant's priority is {rank}"
    ));
    let due_at = taken_at + REVOKE_S;
    sleep_until(&record, due_at + 0.2);
    record.line("revoke_ms is over");
    let taken = f.send_keyed("taken-", 30, ms(500), "/book/a", 1_000, TAKEN);
    let kept = f.send_keyed("kept-", 3, ms(50), "/book/a", 1_000, KEY);
    let arrivals = f.arrivals.lock().unwrap().clone();
    let ran = taken.iter().filter(|sent| {
        let mut runs = arrivals.iter().filter(|it| !it.is_rejected);
        sent.at > due_at && runs.any(|it| it.id == sent.id)
    });
    let ran = ran.count();
    let last = taken.last().map_or(0.0, |sent| sent.at - taken_at);
    record.line(format!(
        "{ran} of {} requests with the key that was taken away ran, the last one sent {last:.1} s after \
         the acknowledgement; {} of {} with the other key were served",
        taken.len(),
        kept.len() - failed(&kept),
        kept.len()
    ));
    i32::from(ran > 0)
}

/// Returns a configuration with the service `pool` of model engines on `/note/`.
fn streaming_config() -> String {
    format!(
        r#"{{"version":1,"routes":[
{{"name":"note","host":"shed.example","path_prefix":"/note/","route_type":"streaming","timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"pool","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":200}}],
"services":[{{"name":"pool","health_path":"/healthz","max_connections":344,"cold_start_s":3.0,"cold_per_s":36.0,
"engine":{{"slots":16,"kv_capacity_tokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":13229,"answer":1541}},"hop_ms":0.1}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"]}}]}}"#
    )
}

/// LOST: streams that are accepted late in a planned stop and do not end before the entry does.
fn late_streams(f: &mut Deployment, trouble: bool) -> i32 {
    const GRACE_S: f64 = 8.0;
    /// Time from the SIGTERM of an entry after which its clients send.
    const SENT_AFTER_S: f64 = 3.1;
    const TOKENS: u64 = 2_400;
    const DEADLINE_MS: u64 = 10_000;
    let record = f.record.clone();
    f.store.put("config", "main", &streaming_config());
    let servers = ["i-a", "i-b", "i-c"].map(|id| f.server(id, ms(15)));
    for (server, (zone, pace)) in servers.iter().zip(ZONES.iter().zip([2.2, 2.4, 2.6])) {
        server.set_pace(pace);
        let entry = server.registration("pool", zone, "ready", 0);
        f.store.put("servers", &server.id, &entry);
        record.line(format!("server {} has the pace {pace}", server.id));
    }
    if !f.start_entries(&[ZONES[0], ZONES[0]]) {
        return 2;
    }
    // All machines are in touch, and the paces of the servers are reported.
    thread::sleep(ms(4_000));
    let fronts = f.entries.iter().map(|entry| entry.front());
    let clients = fronts
        .enumerate()
        .map(|(index, front)| Client::open(&record, index, front));
    let mut clients: Vec<Client> = clients.map(|it| it.expect("entry")).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        let warm_up = client.stream(&format!("warm-{i}"), "/note/a", 92, DEADLINE_MS);
        if warm_up.status != 200 || !warm_up.is_complete {
            return 2;
        }
    }
    let began_at = record.now();
    let (root, dir, platform) = (f.root.clone(), f.dir.clone(), f.proxy.address);
    let streams: Vec<(f64, Streamed)> = thread::scope(|scope| {
        let sending: Vec<_> = clients
            .iter_mut()
            .zip(f.entries.iter_mut())
            .enumerate()
            .map(|(i, (client, entry))| {
                let (record, root, dir) = (&record, &root, &dir);
                scope.spawn(move || {
                    // The entries are stopped in turn, a second apart.
                    sleep_until(record, began_at + i as f64);
                    let stopped_at = record.now();
                    if trouble {
                        entry.signal("-TERM");
                        record.line(format!("entry {i} gets SIGTERM"));
                    }
                    // The platform kills what is left at the end of the grace, and starts it again.
                    let platform = scope.spawn(move || {
                        trouble.then(|| {
                            let is_killed = !entry.wait_exit(record, stopped_at + GRACE_S);
                            record.line(format!("entry {i} has ended, killed: {is_killed}"));
                            thread::sleep(ms(300));
                            let again = Entry::spawn(root, dir, i, ZONES[0], platform);
                            let again = again.expect("entry");
                            let is_ready = again.wait_ready();
                            record.line(format!("entry {i} is started again, ready: {is_ready}"));
                            again
                        })
                    });
                    sleep_until(record, stopped_at + SENT_AFTER_S);
                    let id = format!("note-{i}");
                    let streamed = client.stream(&id, "/note/a", TOKENS, DEADLINE_MS);
                    let again = platform.join().expect("platform");
                    (stopped_at, streamed, again)
                })
            })
            .collect();
        // The processes that were started again live until all are done.
        let ended: Vec<_> = sending
            .into_iter()
            .map(|it| it.join().expect("client"))
            .collect();
        ended
            .into_iter()
            .map(|(at, streamed, _)| (at, streamed))
            .collect()
    });
    let lost: Vec<&(f64, Streamed)> = streams
        .iter()
        .filter(|(_, it)| it.status == 200 && !it.is_complete)
        .collect();
    for (stopped_at, it) in &lost {
        record.line(format!(
            "request {} was sent {:.3} s after the SIGTERM of entry {}, passed on, and cut {:.3} s after it, after {} events",
            it.id,
            it.sent_at - stopped_at,
            it.entry,
            it.ended_at - stopped_at,
            it.events
        ));
    }
    record.line(format!(
        "{} of {} streams were passed on and cut",
        lost.len(),
        streams.len()
    ));
    i32::from(!lost.is_empty())
}

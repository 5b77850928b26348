//! The cases of the review that are scripts.

use std::thread;

use crate::{Deployment, KEY, Record, Sent, ms, sleep_until};

const TENANT: &str = "hule930";
const ZONES: [&str; 3] = ["erie-side", "huron-side", "michigan-side"];

pub fn run(case: &str, root: &str, dir: &str, record: &Record, trouble: bool) -> i32 {
    record.line(format!("case {case}, trouble: {trouble}"));
    let mut f = Deployment::open(root, dir, record).expect("store and proxy");
    match case {
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
{{"name":"book","host":"shed.example","path_prefix":"/book/","route_type":"non_idempotent","timeout_ms":5000,"target_latency_ms":100,"priority":{priority},"service":"desk","max_attempts":2,"public":false,"resumable":false}}],
"services":[{{"name":"desk","max_connections":100,"health_path":"/healthz"}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"{tenant}","api_keys":[{keys}]}}]}}"#
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

/// CONFIG: a version takes a key away, and gives a route the rank 300.
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
        "the store has accepted version 2, which takes {TAKEN} away; the route's priority is {rank}"
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

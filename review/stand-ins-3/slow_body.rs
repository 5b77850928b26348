//! Streams are cut because their runner reads the rest of a long request later.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    entry::{self, Entry, Machine, HANGUP},
    store::Store,
    Outcome, Setting,
};

/// Machines of a small deployment.
const MACHINES: usize = 3;
/// Length of the long requests, in bytes; `max_body_bytes` is 4 MiB.
const BODY_BYTES: usize = 4_000_000;
/// Time for which the runner reads nothing of a long request that it has begun to answer.
const PAUSE: Duration = Duration::from_millis(2_000);
/// Events of an answer, and the time between them.
const EVENTS: usize = 30;
const EVENT_GAP: Duration = Duration::from_millis(200);
/// Events of the answer to a short request.
const SHORT_EVENTS: usize = 2;
/// `config_apply_ms` of the settings: requests sent later after a SIGHUP are not around planned work.
const AROUND: Duration = Duration::from_millis(2_000);
/// Long requests that are sent.
const REQUESTS: usize = 12;
/// Runners of the service.
const RUNNERS: [&str; 3] = ["i-model-1", "i-model-2", "i-model-3"];
/// Connections that may be closed without an answer.
const ALLOWED: usize = 3;

/// What a runner has seen of a request.
#[derive(Clone, Debug, Default)]
struct Seen {
    read: usize,
    events: usize,
    end: String,
}

/// What each runner has seen, by the request's id.
type Runs = Arc<Mutex<BTreeMap<(String, &'static str), Seen>>>;

/// Starts a runner that begins to answer a long request before it has read it; returns its address.
fn start_runner(instance: &'static str, pause: Duration, runs: &Runs) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let of_runner = runs.clone();
    thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            let runs = of_runner.clone();
            thread::spawn(move || serve(connection, instance, pause, &runs));
        }
    });
    address
}

fn serve(connection: TcpStream, instance: &'static str, pause: Duration, runs: &Runs) -> Option<()> {
    let mut writer = connection.try_clone().ok()?;
    let mut reader = BufReader::new(connection);
    let mut headers = BTreeMap::new();
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? <= 2 {
            break;
        }
        let (name, value) = header.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let id = (headers.get("request-id")?.clone(), instance);
    let last = headers.get("last-event-id").and_then(|it| it.parse().ok());
    let first = last.unwrap_or(0) + 1;
    if headers.get("expect-instance").is_some_and(|it| it != instance) {
        let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
        return writer.write_all(answer.as_bytes()).ok();
    }
    let length: usize = headers.get("content-length")?.parse().ok()?;
    runs.lock().unwrap().insert(id.clone(), Seen::default());
    let reading = {
        let (runs, id) = (runs.clone(), id.clone());
        thread::spawn(move || {
            if length > 100_000 {
                thread::sleep(pause);
            }
            let mut buf = vec![0; 64 * 1024];
            let mut read = 0;
            let end = loop {
                if read >= length {
                    break "read whole".to_owned();
                }
                match reader.read(&mut buf) {
                    Ok(0) => break "the sender has closed the connection".to_owned(),
                    Ok(n) => read += n,
                    Err(e) => break e.to_string(),
                }
            };
            let mut runs = runs.lock().unwrap();
            let seen = runs.entry(id).or_default();
            (seen.read, seen.end) = (read, end);
        })
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {0}\r\nServer-Stamp: {instance}.{0}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        id.0
    );
    let mut result = writer.write_all(head.as_bytes());
    let last = if length > 100_000 { EVENTS } else { SHORT_EVENTS };
    for n in first..=last {
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        result = result.and_then(|()| writer.write_all(chunk.as_bytes()));
        if result.is_err() {
            break;
        }
        runs.lock().unwrap().entry(id.clone()).or_default().events += 1;
        thread::sleep(EVENT_GAP);
    }
    let result = result.and_then(|()| writer.write_all(b"0\r\n\r\n"));
    reading.join().ok()?;
    result.ok()
}

fn request(path: &str, id: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 10000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// An answer as its client got it.
struct Answer {
    status: String,
    events: usize,
    is_complete: bool,
}

/// Reads one answer, with a length or in chunks.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Answer {
    let mut answer = Answer {
        status: "none".to_owned(),
        events: 0,
        is_complete: false,
    };
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        return answer;
    }
    answer.status = line.split_whitespace().nth(1).unwrap_or("none").to_owned();
    let mut length = None;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).unwrap_or(0) <= 2 {
            break;
        }
        let header = header.to_ascii_lowercase();
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse::<usize>().ok();
        }
    }
    if let Some(length) = length {
        answer.is_complete = reader.read_exact(&mut vec![0; length]).is_ok();
        return answer;
    }
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size).unwrap_or(0) == 0 {
            return answer;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return answer;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return answer;
        }
        if size == 0 {
            answer.is_complete = true;
            return answer;
        }
        answer.events += chunk.windows(2).filter(|it| *it == b"\n\n").count();
    }
}

pub fn run(setting: &Setting<'_>) -> Outcome {
    let store = Store::new();
    let door = store.open();
    let pause = if setting.has_trouble {
        PAUSE
    } else {
        Duration::ZERO
    };
    let runs = Runs::default();
    for instance in RUNNERS {
        let address = start_runner(instance, pause, &runs);
        store.put(
            "servers",
            instance,
            &format!(
                "{{\"service\":\"model\",\"address\":\"{address}\",\"zone\":\"erie-side\",\"version\":\"v1\",\
                 \"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}}"
            ),
        );
    }
    store.put(
        "config",
        "main",
        "{\"version\":4,\"routes\":[{\"name\":\"survey\",\"host\":\"desk.example\",\"path_prefix\":\"/survey/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":3000,\"gap_aim_ms\":800,\
         \"priority\":1,\"service\":\"model\",\"max_attempts\":2,\"public\":true,\"sticky\":false,\"resumable\":true}],\
         \"services\":[{\"name\":\"model\",\"health_path\":\"/healthz\",\"max_connections\":688,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}",
    );
    let mut entries: Vec<Entry> = Vec::new();
    for n in 0..MACHINES {
        let seeds: Vec<String> = entries.iter().take(1).map(|it| it.peers.clone()).collect();
        let entry = Entry::start(
            setting.folder,
            &Machine {
                name: &format!("edge-{n}"),
                zone: ["erie-side", "huron-side", "michigan-side"][n % 3],
                ip: &entry::ip(n),
                store: &door.address,
                seeds: &seeds,
            },
        );
        entries.push(entry);
    }
    if !entries.iter().all(Entry::wait_until_ready) {
        return Outcome::NotRun("the entries are not ready".to_owned());
    }
    // All machines are in touch from here on.
    thread::sleep(Duration::from_secs(6));
    let mut kept = Vec::new();
    for n in 0..REQUESTS {
        let mut connection = TcpStream::connect(&entries[0].front).unwrap();
        connection
            .set_read_timeout(Some(Duration::from_secs(15)))
            .unwrap();
        let mut reader = BufReader::new(connection.try_clone().unwrap());
        let first = format!("short-{n}");
        setting.record.add(&format!("{first} is sent"));
        connection
            .write_all(&request("/survey/1", &first, b"short"))
            .unwrap();
        kept.push((connection, n, first));
        let (_, _, first) = kept.last().unwrap();
        let answer = read_answer(&mut reader);
        setting.record.add(&format!("{first} is answered {} with {} events", answer.status, answer.events));
        if !answer.is_complete || answer.status != "200" {
            return Outcome::NotRun(format!("{first} was not served"));
        }
    }
    entries[0].signal(HANGUP);
    let hangup_at = Instant::now();
    setting.record.add_at(hangup_at, "edge-0 gets SIGHUP");
    let mut clients = Vec::new();
    for (mut connection, n, _) in kept {
        clients.push(thread::spawn(move || {
            let mut reader = BufReader::new(connection.try_clone().unwrap());
            let id = format!("long-{n}");
            let sent = Instant::now();
            let _ = connection.write_all(&request("/survey/1", &id, &vec![b'x'; BODY_BYTES]));
            let sent_whole = Instant::now();
            let answer = read_answer(&mut reader);
            (id, sent, sent_whole, Instant::now(), answer)
        }));
        thread::sleep(Duration::from_millis(100));
    }
    let mut cut = 0;
    for client in clients {
        let (id, sent, sent_whole, ended, answer) = client.join().unwrap();
        let seen = runs.lock().unwrap().clone().into_iter();
        let seen = seen.filter(|((of, _), _)| *of == id);
        let seen: Vec<(&str, Seen)> = seen.map(|((_, runner), seen)| (runner, seen)).collect();
        setting.record.add_at(sent, &format!("{id} is sent"));
        setting.record.add_at(sent_whole, &format!("{id} is sent whole"));
        let how = if answer.is_complete {
            "complete"
        } else {
            "cut: the connection is closed"
        };
        let line = format!(
            "{id} ends after {:.2} s with {} and {} of {EVENTS} events, {how}; runners: {seen:?}",
            (ended - sent).as_secs_f64(),
            answer.status,
            answer.events
        );
        setting.record.add_at(ended, &line);
        let is_around = sent_whole - hangup_at < AROUND && ended > hangup_at;
        if !answer.is_complete && !seen.is_empty() && is_around {
            cut += 1;
        }
    }
    setting
        .record
        .add(&format!("{cut} of {REQUESTS} long requests were cut"));
    eprintln!("{cut} of {REQUESTS} long requests were cut");
    if cut > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

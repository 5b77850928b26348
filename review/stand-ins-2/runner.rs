//! A runner: it answers requests by its kind, and tells on standard output what it runs.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        mpsc, Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{self, Engine, Job},
    http::{self, Message},
    store as json,
};

/// Time that a call takes.
const WORK: Duration = Duration::from_millis(15);
/// Path on which a runner asks another one to read a part of a prompt.
const PART_PATH: &str = "/part";
/// Requests in ten that a runner that is grey fails.
const FAILED_IN_TEN: u64 = 4;

/// Prints the address and serves until the process is killed. A line on standard input begins the
/// disruption: the runner turns grey.
pub fn run(kind: &str, id: &str) {
    let (listener, address) = http::listen();
    println!("{address}");
    let (kind, own, calls, engine) = (kind.to_owned(), id.to_owned(), AtomicU64::new(0), Engine::start());
    let is_grey = Arc::new(AtomicBool::new(false));
    let told = Arc::clone(&is_grey);
    http::serve(
        listener,
        Arc::new(move |req: &Message, stream: &mut TcpStream| {
            let number = calls.fetch_add(1, Ordering::Relaxed);
            let fails = is_grey.load(Ordering::Relaxed) && number % 10 < FAILED_IN_TEN;
            answer(&kind, &own, fails, &engine, req, stream).is_ok()
        }),
    );
    if std::io::stdin().read_line(&mut String::new()).is_ok_and(|n| n > 0) {
        told.store(true, Ordering::Relaxed);
    }
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer(kind: &str, own: &str, fails: bool, engine: &Engine, req: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    if req.path() == "/api/report" {
        let (running, used) = engine.load();
        let report = format!(
            "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\
             \"queued\":0,\"running\":{running},\"kv_used\":{used},\"kv_total\":{},\"handles\":0,\"pace\":1.0}}",
            engine::MEMORY
        );
        return http::respond(stream, "200 OK", &[("Content-Type", "application/json")], report.as_bytes());
    }
    if req.path() == "/healthz" {
        return http::respond(stream, "200 OK", &[("Instance-Id", own)], b"");
    }
    if req.path() == "/api/order" {
        return order(engine, req, stream);
    }
    if req.path() == PART_PATH {
        let number = |name| req.query(name).and_then(|n| n.parse().ok()).unwrap_or(0);
        let job = Job { unread: number("tokens"), whole: Some(number("whole")), unwritten: 0, others: Arc::default() };
        let _ = engine.begin(job).recv();
        return http::respond(stream, "200 OK", &[], b"");
    }
    if req.header("expect-instance").is_some_and(|expected| expected != own) {
        return http::respond(stream, "421 Misdirected Request", &[], b"");
    }
    let Some(id) = req.header("request-id") else {
        return http::respond(stream, "400 Bad Request", &[("Not-Executed", "1")], b"");
    };
    let headers = [("Request-Id", id), ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")];
    if kind == "model" {
        println!("{id} {} helpers {}", req.header("prompt-prefix").unwrap_or("-"), req.header("helpers").unwrap_or("-"));
        let until = Instant::now() + Duration::from_millis(req.header("deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(60_000));
        let writing = begin(engine, req);
        let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        for (i, _) in writing.iter().enumerate() {
            if Instant::now() > until {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            let event = format!("id: {}\ndata: {id}\n\n", i + 1);
            let event = format!("{:x}\r\n{event}\r\n", event.len());
            let head = if i == 0 { format!("{head}\r\n") } else { String::new() };
            stream.write_all(format!("{head}{event}").as_bytes())?;
        }
        println!("{id} is done");
        return stream.write_all(b"0\r\n\r\n");
    }
    // The work is done here, whatever is answered afterwards.
    println!("{id} {}", req.word(0));
    thread::sleep(WORK);
    if fails {
        return http::respond(stream, "503 Service Unavailable", &headers, b"failed after the booking was stored\n");
    }
    http::respond(stream, "200 OK", &headers, format!("done {id}\n").as_bytes())
}

/// Begins a request, whose prompt is read in even parts by this runner and its helpers.
fn begin(engine: &Engine, req: &Message) -> mpsc::Receiver<u64> {
    let usage = req.header("token-usage").and_then(|usage| usage.split_once(','));
    let tokens = usage.and_then(|(prompt, answer)| Some((prompt.parse::<u64>().ok()?, answer.parse::<u64>().ok()?)));
    let (prompt, answer) = tokens.unwrap_or((1_000, 100));
    let helpers = req.header("helpers").map_or(Vec::new(), |list| list.split(',').map(|it| it.split('/').next().unwrap_or("").trim().to_owned()).collect());
    let part = prompt.div_ceil(helpers.len() as u64 + 1);
    let others = Arc::new(AtomicUsize::new(helpers.len()));
    for helper in &helpers {
        let (others, head) = (Arc::clone(&others), format!("POST {PART_PATH}?tokens={part}&whole={prompt} HTTP/1.1\r\nHost: helper\r\n"));
        let Ok(address) = helper.parse() else {
            continue;
        };
        thread::spawn(move || {
            // The rest of the prompt's work is cut off if a helper is lost.
            if http::call(address, &head, b"", Duration::from_secs(60)).is_ok() {
                others.fetch_sub(1, Ordering::Relaxed);
            }
        });
    }
    let whole = (!helpers.is_empty()).then_some(prompt);
    engine.begin(Job { unread: part, whole, unwritten: answer, others })
}

fn order(engine: &Engine, req: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    let body = String::from_utf8_lossy(&req.body).into_owned();
    let (op, id) = (json::string_field(&body, "op"), json::string_field(&body, "id").unwrap_or_default());
    let number = |name| json::raw_field(&body, name).and_then(|n| n.parse().ok()).unwrap_or(0);
    let (status, body) = match op.as_deref() {
        Some("reserve") => match engine.reserve(&id, number("tokens"), Duration::from_millis(number("hold_ms"))) {
            Some(free) => ("200 OK", format!("{{\"free\":{free}}}")),
            None => ("409 Conflict", "{}".to_owned()),
        },
        Some("release") => {
            engine.release(&id);
            ("200 OK", "{}".to_owned())
        }
        _ => ("400 Bad Request", "{}".to_owned()),
    };
    http::respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
}

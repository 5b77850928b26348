//! A runner: it answers requests by its kind, and tells on standard output what it runs.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc, Arc,
    },
    thread,
    time::Duration,
};

use crate::{
    engine::Engine,
    http::{self, Message},
};

/// Time until a model runner has read a long prompt.
const READING: Duration = Duration::from_secs(6);
/// Time that a call takes.
const WORK: Duration = Duration::from_millis(15);
/// Requests in ten that a runner that is grey fails.
const FAILED_IN_TEN: u64 = 4;

/// Prints the address and serves until the process is killed. A line on standard input begins the
/// disruption: the runner turns grey.
pub fn run(kind: &str) {
    let (listener, address) = http::listen();
    println!("{address}");
    let (kind, calls, engine) = (kind.to_owned(), AtomicU64::new(0), Engine::start());
    let is_grey = Arc::new(AtomicBool::new(false));
    let told = Arc::clone(&is_grey);
    http::serve(
        listener,
        Arc::new(move |req: &Message, stream: &mut TcpStream| {
            let number = calls.fetch_add(1, Ordering::Relaxed);
            let fails = is_grey.load(Ordering::Relaxed) && number % 10 < FAILED_IN_TEN;
            answer(&kind, fails, &engine, req, stream).is_ok()
        }),
    );
    if std::io::stdin().read_line(&mut String::new()).is_ok_and(|n| n > 0) {
        told.store(true, Ordering::Relaxed);
    }
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer(kind: &str, fails: bool, engine: &Engine, req: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    if req.path() == "/api/report" {
        let (running, used) = engine.load();
        let report = format!(
            "{{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\"running\":{running},\
             \"kv_used\":{used},\"kv_total\":450000,\"handles\":0,\"pace\":1.0}}"
        );
        return http::respond(stream, "200 OK", &[("Content-Type", "application/json")], report.as_bytes());
    }
    let Some(id) = req.header("request-id") else {
        return http::respond(stream, "400 Bad Request", &[("Not-Executed", "1")], b"");
    };
    let headers = [("Request-Id", id), ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")];
    if kind == "model" || kind == "engine" {
        println!("{id} {}", req.header("prompt-prefix").unwrap_or("-"));
        let writing = if kind == "engine" {
            let usage = req.header("token-usage").and_then(|usage| usage.split_once(','));
            let tokens = usage.and_then(|(prompt, answer)| Some((prompt.parse().ok()?, answer.parse().ok()?)));
            let (prompt, answer) = tokens.unwrap_or((1_000, 100));
            engine.begin(prompt, answer)
        } else {
            thread::sleep(READING);
            five_events()
        };
        let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        for (i, _) in writing.iter().enumerate() {
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

/// Returns what tells of five events of a stream, 50 ms apart.
fn five_events() -> mpsc::Receiver<u64> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for event in 1..=5 {
            if tx.send(event).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    });
    rx
}

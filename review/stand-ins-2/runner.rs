//! A runner: it answers requests by its kind, and tells on standard output what it runs.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::http::{self, Message};

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
    let (kind, calls) = (kind.to_owned(), AtomicU64::new(0));
    let is_grey = Arc::new(AtomicBool::new(false));
    let told = Arc::clone(&is_grey);
    http::serve(
        listener,
        Arc::new(move |req: &Message, stream: &mut TcpStream| {
            let number = calls.fetch_add(1, Ordering::Relaxed);
            let fails = is_grey.load(Ordering::Relaxed) && number % 10 < FAILED_IN_TEN;
            answer(&kind, fails, req, stream).is_ok()
        }),
    );
    if std::io::stdin().read_line(&mut String::new()).is_ok_and(|n| n > 0) {
        told.store(true, Ordering::Relaxed);
    }
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer(kind: &str, fails: bool, req: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    if req.path() == "/api/report" {
        let report = "{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\
                      \"kv_used\":0,\"kv_total\":450000,\"handles\":0,\"pace\":1.0}";
        return http::respond(stream, "200 OK", &[("Content-Type", "application/json")], report.as_bytes());
    }
    let Some(id) = req.header("request-id") else {
        return http::respond(stream, "400 Bad Request", &[("Not-Executed", "1")], b"");
    };
    let headers = [("Request-Id", id), ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")];
    if kind == "model" {
        println!("{id} {}", req.header("prompt-prefix").unwrap_or("-"));
        thread::sleep(READING);
        let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        stream.write_all(format!("{head}\r\n").as_bytes())?;
        for event in 1..=5 {
            let event = format!("id: {event}\ndata: {id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(50));
        }
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

//! Runners of a plain service, which record what they run.

use std::{
    io::{BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

/// A request that has reached a runner.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub tenant: String,
}

/// A runner of a plain service that answers each request at once.
pub struct Runner {
    pub address: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// Head and body of a request.
pub struct Request {
    pub headers: Vec<(String, String)>,
}

impl Request {
    /// Reads a request; none at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header).ok()? <= 2 {
                break;
            }
            let (name, value) = header.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let request = Self { headers };
        let length = request.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some(request)
    }

    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }
}

impl Runner {
    pub fn start(instance: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let runner = Self {
            address: listener.local_addr().unwrap().to_string(),
            runs: Arc::default(),
        };
        let runs = runner.runs.clone();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let runs = runs.clone();
                thread::spawn(move || serve(connection, instance, &runs));
            }
        });
        runner
    }
}

fn serve(mut connection: TcpStream, instance: &str, runs: &Mutex<Vec<Run>>) -> Option<()> {
    let mut reader = BufReader::new(connection.try_clone().ok()?);
    while let Some(request) = Request::read(&mut reader) {
        let id = request.header("request-id");
        if id.is_empty() {
            let answer = format!("HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nInstance-Id: {instance}\r\nContent-Length: 0\r\n\r\n");
            connection.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != instance {
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {instance}\r\nContent-Length: 0\r\n\r\n");
            connection.write_all(head.as_bytes()).ok()?;
            continue;
        }
        runs.lock().unwrap().push(Run {
            at: Instant::now(),
            id: id.to_owned(),
            tenant: request.header("tenant").to_owned(),
        });
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp.{id}\r\nContent-Length: 4\r\n\r\ndone"
        );
        connection.write_all(answer.as_bytes()).ok()?;
    }
    Some(())
}

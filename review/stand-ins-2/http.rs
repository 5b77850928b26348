//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Largest head or body that is read, in bytes.
const MAX_BYTES: usize = 8 << 20;

/// A request or a response as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the nth word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.first.split(' ').nth(n).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or("")
    }

    /// Returns a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| decode(value))
    }
}

/// Decodes percent-encoded text.
pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    /// Sends text.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Reads a message; none if the connection ends before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.rest, b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return if self.rest.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        let mut message = Message { first, headers: headers.collect(), body: Vec::new() };
        if message.header("transfer-encoding").is_some_and(|te| te.ends_with("chunked")) {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = find(&self.rest, b"\r\n") {
                    break at;
                }
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            self.rest.drain(..end + 2);
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buf = [0; 16 * 1024];
        if self.rest.len() > MAX_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let n = self.stream.read(&mut buf)?;
        self.rest.extend(&buf[..n]);
        Ok(n > 0)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// What answers the requests of a listener; false closes the connection.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Serves a listener, each connection on a thread of its own.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    if !handler(&request, &mut connection.stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// Listens on a free port of 127.0.0.1.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Sends a request on a new connection and waits for the whole response until `timeout` is over.
pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    stream.write_all(&[format!("{head}{length}\r\n").as_bytes(), body].concat())?;
    let answer = Connection::new(stream).read()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

//! The platform's store as the pages describe it, on loopback: lists, watches and writes.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::json;

/// An object: its revision and its text in responses.
#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    text: Arc<str>,
}

struct Change {
    revision: u64,
    kind: String,
    removed: bool,
    object: Object,
}

#[derive(Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    changes: Vec<Change>,
}

/// The store; clones are the same store.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// An address of the store, which may turn its callers away.
pub struct Door {
    pub address: String,
    refuses: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    /// Turns callers away with a 503 from now on, and ends the calls that wait, or serves them again.
    pub fn refuse(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::SeqCst);
        if refuses {
            for connection in self.open.lock().unwrap().drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }
}

impl Store {
    pub fn new() -> Self {
        let state = State {
            revision: 100,
            ..State::default()
        };
        Self(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Opens an address of the store.
    pub fn open(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let door = Door {
            address: listener.local_addr().unwrap().to_string(),
            refuses: Arc::default(),
            open: Arc::default(),
        };
        let (store, refuses, open) = (self.clone(), door.refuses.clone(), door.open.clone());
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let (store, refuses) = (store.clone(), refuses.clone());
                let mut open = open.lock().unwrap();
                open.push(connection.try_clone().unwrap());
                if open.len() > 256 {
                    open.remove(0);
                }
                thread::spawn(move || store.serve(connection, &refuses));
            }
        });
        door
    }

    /// Writes an object; returns when the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        let known = state.kinds.get(kind).and_then(|of_kind| of_kind.get(name));
        if known.is_some_and(|known| json::field(&known.text, "spec") == Some(spec)) {
            return Instant::now();
        }
        state.revision += 1;
        let revision = state.revision;
        let text = format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"created_rev\":{revision},\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}",
            json::quoted(name)
        );
        let object = Object {
            name: name.to_owned(),
            revision,
            text: text.into(),
        };
        let of_kind = state.kinds.entry(kind.to_owned()).or_default();
        of_kind.insert(name.to_owned(), object.clone());
        state.record(kind, false, object);
        changed.notify_all();
        Instant::now()
    }

    fn serve(&self, mut connection: TcpStream, refuses: &AtomicBool) -> Option<()> {
        connection.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(connection.try_clone().ok()?);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).ok()? <= 2 {
                    break;
                }
                let (name, value) = header.split_once(':')?;
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().ok()?;
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            let mut words = line.split_whitespace();
            let (method, target) = (words.next()?, words.next()?);
            let (status, text) = if refuses.load(Ordering::SeqCst) {
                (503, "{}".to_owned())
            } else {
                self.answer(method, target, &String::from_utf8_lossy(&body))?
            };
            if refuses.load(Ordering::SeqCst) && status != 503 {
                return None;
            }
            let head = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            connection.write_all(head.as_bytes()).ok()?;
            connection.write_all(text.as_bytes()).ok()?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> Option<(u16, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.strip_prefix("/api/objects/")?.split('/');
        let (kind, name) = (parts.next()?, parts.next());
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse::<u64>().ok()
        };
        match (method, name) {
            ("GET", None) => match parameter("watch") {
                Some(from) => Some((
                    200,
                    self.watch(kind, from, parameter("wait_ms").unwrap_or(0)),
                )),
                None => Some((200, self.list(kind))),
            },
            ("GET", Some(name)) => Some(self.get(kind, name)),
            ("POST", None) => {
                let name = json::field(json::field(body, "metadata")?, "name")?;
                let name = name.trim_matches('"');
                let (status, object) = self.get(kind, name);
                if status == 200 {
                    return Some((409, object));
                }
                self.put(kind, name, json::field(body, "spec")?);
                Some(self.get(kind, name))
            }
            ("PUT", Some(name)) => {
                let (status, object) = self.get(kind, name);
                if status != 200 {
                    return Some((404, object));
                }
                let expected = json::field(json::field(body, "metadata")?, "revision");
                let known = json::field(json::field(&object, "metadata")?, "revision");
                if expected.is_some_and(|expected| Some(expected) != known) {
                    return Some((409, object));
                }
                self.put(kind, name, json::field(body, "spec")?);
                Some(self.get(kind, name))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.0 .0.lock().unwrap();
        let object = state.kinds.get(kind).and_then(|of_kind| of_kind.get(name));
        object.map_or((404, "{}".to_owned()), |object| {
            (200, object.text.to_string())
        })
    }

    fn list(&self, kind: &str) -> String {
        let state = self.0 .0.lock().unwrap();
        let objects = state.kinds.get(kind).into_iter().flat_map(BTreeMap::values);
        let items: Vec<&str> = objects.map(|object| &*object.text).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> String {
        let (state, changed) = &*self.0;
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = state.lock().unwrap();
        loop {
            let events = state.changes.iter();
            let events = events.filter(|it| it.revision > from && it.kind == kind);
            let events: Vec<String> = events
                .map(|it| {
                    format!(
                        "{{\"removed\":{},\"object\":{}}}",
                        it.removed, it.object.text
                    )
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn record(&mut self, kind: &str, removed: bool, object: Object) {
        self.changes.push(Change {
            revision: object.revision,
            kind: kind.to_owned(),
            removed,
            object,
        });
        // Large objects are kept for the last changes only.
        if self.changes.len() > 2_000 {
            self.changes.drain(..1_000);
        }
    }
}

impl Object {
    #[allow(dead_code)]
    fn name(&self) -> &str {
        &self.name
    }
}

//! The platform's store: objects by kind and name, lists, watches and writes under a condition.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// Objects in a page of a list.
const PAGE_ITEMS: usize = 500;
/// Changes that are kept for watches.
const HISTORY: usize = 10_000;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    /// Text of the fields besides `metadata`.
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, whether removed, and the object as text.
    changes: VecDeque<(u64, String, bool, String)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created_rev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    /// Starts a store without objects, whose first revision is above zero.
    pub fn open() -> Self {
        let (listener, address) = http::listen();
        let state = State { revision: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let answering = store.clone();
        http::serve(listener, Arc::new(move |req, stream| answering.answer(req, stream)));
        store
    }

    /// Creates or replaces an object, as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write(kind, name, Some(spec));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.write(kind, name, None);
    }

    fn write(&self, kind: &str, name: &str, spec: Option<&str>) -> Option<String> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        if let (Some(known), Some(spec)) = (&known, spec) {
            if known.spec == spec {
                return Some(text(name, known));
            }
        }
        state.revision += 1;
        let revision = state.revision;
        let created = known.as_ref().map_or(revision, |known| known.created);
        let object = match spec {
            Some(spec) => Object { revision, created, spec: spec.to_owned() },
            None => Object { revision, ..known? },
        };
        let shown = text(name, &object);
        if spec.is_some() {
            state.objects.insert(key, object);
        } else {
            state.objects.remove(&key);
        }
        state.changes.push_back((revision, kind.to_owned(), spec.is_none(), shown.clone()));
        if state.changes.len() > HISTORY {
            state.changes.pop_front();
        }
        changed.notify_all();
        Some(shown)
    }

    fn answer(&self, req: &Message, stream: &mut TcpStream) -> bool {
        let (status, body) = self.respond(req);
        let json = [("Content-Type", "application/json")];
        http::respond(stream, status, &json, body.as_bytes()).is_ok()
    }

    fn respond(&self, req: &Message) -> (&'static str, String) {
        let path = req.path().to_owned();
        let mut parts = path.trim_start_matches("/api/objects/").splitn(2, '/');
        let kind = http::decode(parts.next().unwrap_or(""));
        let name = parts.next().map(http::decode);
        match (req.word(0), name) {
            ("GET", None) if req.query("watch").is_some() => self.watch(&kind, req),
            ("GET", None) => ("200 OK", self.list(&kind, req.query("after"))),
            ("GET", Some(name)) => match self.find(&kind, &name) {
                Some(object) => ("200 OK", text(&name, &object)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            ("POST", None) => self.written(&kind, None, req, true),
            ("PUT", Some(name)) => self.written(&kind, Some(&name), req, false),
            ("DELETE", Some(name)) => match self.write(&kind, &name, None) {
                Some(shown) => ("200 OK", shown),
                None => ("404 Not Found", "{}".to_owned()),
            },
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<Object> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    fn written(&self, kind: &str, name: Option<&str>, req: &Message, creates: bool) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let name = name.map(str::to_owned).or_else(|| string_field(&body, "name")).unwrap_or_default();
        let Some(spec) = raw_field(&body, "spec") else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let known = self.find(kind, &name);
        let expected = raw_field(&body, "revision").and_then(|n| n.parse().ok());
        match known {
            None if !creates => ("404 Not Found", "{}".to_owned()),
            Some(known) if creates || expected.is_some_and(|n: u64| n != known.revision) => ("409 Conflict", text(&name, &known)),
            _ => ("200 OK", self.write(kind, &name, Some(&spec)).unwrap_or_default()),
        }
    }

    fn list(&self, kind: &str, after: Option<String>) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state.objects.iter().filter(|((k, name), _)| k == kind && after.as_ref().is_none_or(|after| name > after));
        let items: Vec<String> = items.take(PAGE_ITEMS + 1).map(|((_, name), object)| text(name, object)).collect();
        let has_more = items.len() > PAGE_ITEMS;
        let shown = &items[..items.len().min(PAGE_ITEMS)];
        format!("{{\"items\":[{}],\"has_more\":{has_more},\"current_rev\":{}}}", shown.join(","), state.revision)
    }

    fn watch(&self, kind: &str, req: &Message) -> (&'static str, String) {
        let number = |name| req.query(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let (from, until) = (number("watch"), Instant::now() + Duration::from_millis(number("wait_ms").min(30_000)));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if state.changes.front().is_some_and(|(first, ..)| *first > from + 1) && state.changes.len() >= HISTORY {
                return ("410 Gone", "{}".to_owned());
            }
            let events = state.changes.iter().filter(|(revision, k, ..)| *revision > from && k == kind);
            let events: Vec<String> = events.map(|(_, _, removed, object)| format!("{{\"removed\":{removed},\"object\":{object}}}")).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"current_rev\":{}}}", events.join(","), state.revision);
                return ("200 OK", body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Returns the text of a field's value, wherever the field stands.
pub fn raw_field(json: &str, name: &str) -> Option<String> {
    let at = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = json[at..].trim_start();
    let (mut depth, mut in_string, mut escaped) = (0_i32, false, false);
    for (i, c) in rest.char_indices() {
        if in_string {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match c {
            '"' => in_string = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth > 0 => depth -= 1,
            '}' | ']' | ',' if depth == 0 => return Some(rest[..i].trim().to_owned()),
            _ => {}
        }
    }
    Some(rest.trim().to_owned())
}

/// Returns the value of a field that is a text without escapes.
pub fn string_field(json: &str, name: &str) -> Option<String> {
    raw_field(json, name).map(|raw| raw.trim_matches('"').to_owned())
}

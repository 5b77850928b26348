//! The server that uses reserved memory.

use std::{
    sync::{self, atomic},
    time,
};

use mustardshed::core::ids;
use tokio::sync as tokio_sync;

use crate::forward::{cx, dial};

/// The server that uses the memory that a request has reserved on others.
#[derive(Debug)]
pub struct User {
    cx: sync::Arc<cx::Cx>,
    server: ids::BackendServerId,
    address: String,
    /// When it last sent an event, in milliseconds of the clock; zero before the first.
    event_at_ms: atomic::AtomicU64,
    /// When it was last checked, and whether it was reached.
    checked: tokio_sync::Mutex<Option<(ids::Timestamp, bool)>>,
}

impl User {
    /// Creates a user that has sent nothing yet.
    #[must_use]
    pub fn new(cx: &sync::Arc<cx::Cx>, server: &str, address: &str) -> Self {
        Self {
            cx: sync::Arc::clone(cx),
            server: server.to_owned(),
            address: address.to_owned(),
            event_at_ms: atomic::AtomicU64::new(0),
            checked: tokio_sync::Mutex::new(None),
        }
    }

    /// Records that the server has sent an event.
    pub(super) fn record_event(&self) {
        let now = self.cx.now().as_millis();
        let now = u64::try_from(now).unwrap_or(u64::MAX);
        self.event_at_ms.store(now, atomic::Ordering::Relaxed);
    }

    /// Returns whether the server has sent an event or was reached within `max_age`; it is checked
    /// if that is not known.
    pub(super) async fn is_alive(&self, max_age: time::Duration) -> bool {
        let mut checked = self.checked.lock().await;
        let now = self.cx.now();
        let is_recent = |at: ids::Timestamp| now.saturating_sub(at) < max_age;
        let event_at_ms = self.event_at_ms.load(atomic::Ordering::Relaxed);
        if event_at_ms > 0 && is_recent(time::Duration::from_millis(event_at_ms)) {
            return true;
        }
        if let Some((_, is_reached)) = checked.filter(|(at, _)| is_recent(*at)) {
            return is_reached;
        }
        let check = dial::check(&self.cx, &self.server, &self.address).await;
        *checked = Some((now, check.is_ok()));
        check.is_ok()
    }
}

//! Memory that helpers set aside for parts of a very long prompt.

use std::{sync, time};

use bytes::Bytes;
use mustardshed::{
    core::{forward::head, ids},
    platform::{headers, orders},
};
use tokio::task;

use crate::{
    forward::{cx, upstream},
    log::{self, event},
};

/// Part of the time within which unused memory must be free for which a reservation holds; a
/// reservation outlives an entry that dies by no more than that.
const HOLD_SHARE: f64 = 0.85;
/// Renewals within the time for which a reservation holds.
const RENEWALS_PER_HOLD: u32 = 3;
/// Longest wait for the answer to an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Largest answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A reservation that is renewed until this is dropped, and then released.
#[derive(Debug)]
pub struct Reservation {
    held: sync::Arc<Held>,
    renewals: task::JoinHandle<()>,
}

#[derive(Debug)]
struct Held {
    address: String,
    id: String,
    tokens: ids::Tokens,
    hold: time::Duration,
}

impl Reservation {
    /// Reserves memory on a server.
    ///
    /// # Errors
    ///
    /// Returns why there is no reservation; one that was made unheard of ends by itself.
    pub async fn make(
        cx: &cx::Cx,
        server: &str,
        address: &str,
        id: String,
        tokens: ids::Tokens,
    ) -> Result<Self, String> {
        let held = sync::Arc::new(Held {
            address: address.to_owned(),
            id,
            tokens,
            hold: cx.settings.bounds.memory_release.mul_f64(HOLD_SHARE),
        });
        let reserved = held.reserve().await;
        if let Ok(answered) = &reserved {
            cx.answered_by(server, &answered.head);
        }
        if let Err(e) = reserved.and_then(Answered::granted) {
            release(sync::Arc::clone(&held));
            return Err(e);
        }
        let renewals = task::spawn(renew(sync::Arc::clone(&held)));
        Ok(Self { held, renewals })
    }

    /// Returns its name.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.held.id
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.renewals.abort();
        release(sync::Arc::clone(&self.held));
    }
}

/// Answer to an order.
#[derive(Debug)]
struct Answered {
    status: http::StatusCode,
    head: head::ResponseHead,
}

impl Answered {
    /// Returns an error unless memory was reserved.
    fn granted(self) -> Result<(), String> {
        if self.status == http::StatusCode::OK {
            return Ok(());
        }
        Err(self.status.to_string())
    }
}

impl Held {
    async fn reserve(&self) -> Result<Answered, String> {
        let body = orders::reserve(&self.id, self.tokens, self.hold).map_err(|e| e.to_string())?;
        self.order(body).await
    }

    async fn order(&self, body: Vec<u8>) -> Result<Answered, String> {
        let req = http::Request::builder()
            .method(http::Method::POST)
            .uri(orders::ORDER_PATH)
            .header(http::header::HOST, &self.address)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(upstream::Whole::new(Bytes::from(body)))
            .map_err(|e| e.to_string())?;
        let exchange = async {
            let connection = upstream::Connection::open(&self.address).await;
            let sent = connection.map_err(|e| e.to_string())?.send(req).await;
            let (answer, _driver) = sent.map_err(|e| e.to_string())?;
            let (parts, body) = answer.into_parts();
            upstream::read_whole(body, MAX_ANSWER_BYTES).await?;
            Ok(Answered {
                status: parts.status,
                head: headers::answer(parts.status, &parts.headers),
            })
        };
        let timed = tokio::time::timeout(ORDER_TIMEOUT, exchange).await;
        timed.unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }
}

async fn renew(held: sync::Arc<Held>) {
    loop {
        tokio::time::sleep(held.hold / RENEWALS_PER_HOLD).await;
        if let Err(e) = held.reserve().await.and_then(Answered::granted) {
            log_order(&held, "renew", &e);
        }
    }
}

/// Releases memory without holding up whoever used it.
fn release(held: sync::Arc<Held>) {
    let releasing = async move {
        let body = match orders::release(&held.id) {
            Ok(body) => body,
            Err(e) => return log_order(&held, "release", &e.to_string()),
        };
        match held.order(body).await {
            Ok(answered) if answered.status.is_success() => {}
            Ok(answered) => log_order(&held, "release", &answered.status.to_string()),
            Err(e) => log_order(&held, "release", &e),
        }
    };
    // Without a runtime the process is ending, and the reservation ends by itself soon after.
    if let Ok(rt) = tokio::runtime::Handle::try_current() {
        rt.spawn(releasing);
    }
}

fn log_order(held: &Held, order: &str, reason: &str) {
    log::emit(&event::Event::ReservationFailed {
        server: &held.address,
        reservation: &held.id,
        order,
        reason,
    });
}

//! Memory that helpers reserve for parts of a very long prompt.

use std::{sync, time};

use bytes::Bytes;
use mustardshed::{
    core::{forward::head, ids},
    platform::{headers, orders},
};
use tokio::task;

use crate::{
    forward::{cx, dial, invalid_response, upstream},
    log::{self, event},
};

mod user;

pub use user::User;

/// Time to live of a reservation, as a share of the time within which unused memory must be
/// released: a reservation outlives an entry that dies by no more than that.
const TTL_SHARE: f64 = 0.85;
/// Renewals within the time to live of a reservation.
const RENEWALS_PER_TTL: u32 = 3;
/// Longest wait for the response to an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Largest response to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A reservation that is renewed until dropped, and then released. It is not renewed while the
/// server that uses it is not reached.
#[derive(Debug)]
pub struct Reservation {
    terms: sync::Arc<Terms>,
    renewals: task::JoinHandle<()>,
}

#[derive(Debug)]
struct Terms {
    cx: sync::Arc<cx::Cx>,
    user: sync::Arc<User>,
    server: ids::BackendServerId,
    address: String,
    id: String,
    tokens: ids::Tokens,
    ttl: time::Duration,
}

impl Reservation {
    /// Reserves memory for `tokens` tokens on a server, for `user`.
    ///
    /// # Errors
    ///
    /// Returns why no reservation was confirmed. In case the server made one nevertheless, it is
    /// released, and expires if the release is lost.
    pub async fn open(
        cx: &sync::Arc<cx::Cx>,
        user: &sync::Arc<User>,
        server: &str,
        address: &str,
        id: String,
        tokens: ids::Tokens,
    ) -> Result<Self, String> {
        let terms = sync::Arc::new(Terms {
            cx: sync::Arc::clone(cx),
            user: sync::Arc::clone(user),
            server: server.to_owned(),
            address: address.to_owned(),
            id,
            tokens,
            ttl: cx.settings.bounds.memory_release.mul_f64(TTL_SHARE),
        });
        let reserved = terms.reserve().await;
        if let Ok(response) = &reserved {
            cx.observe_response(server, &response.head);
        }
        if let Err(e) = reserved.and_then(OrderResponse::require_granted) {
            release(sync::Arc::clone(&terms));
            return Err(e);
        }
        let renewals = task::spawn(renew(sync::Arc::clone(&terms)));
        Ok(Self { terms, renewals })
    }

    /// Returns the identifier of the reservation.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.terms.id
    }

    /// Records that the server which uses the memory has sent an event.
    pub fn record_event(&self) {
        self.terms.user.record_event();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.renewals.abort();
        release(sync::Arc::clone(&self.terms));
    }
}

/// Response to an order.
#[derive(Debug)]
struct OrderResponse {
    status: http::StatusCode,
    head: head::ResponseHead,
}

impl OrderResponse {
    /// Returns the status as an error unless memory was reserved.
    fn require_granted(self) -> Result<(), String> {
        if self.status == http::StatusCode::OK {
            return Ok(());
        }
        Err(self.status.to_string())
    }
}

impl Terms {
    async fn reserve(&self) -> Result<OrderResponse, String> {
        let body = orders::reserve(&self.id, self.tokens, self.ttl).map_err(|e| e.to_string())?;
        self.send_order(body).await
    }

    async fn send_order(&self, body: Vec<u8>) -> Result<OrderResponse, String> {
        let req = http::Request::builder()
            .method(http::Method::POST)
            .uri(orders::ORDER_PATH)
            .header(http::header::HOST, &self.address)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(upstream::RequestBody::new(Bytes::from(body)))
            .map_err(|e| e.to_string())?;
        let exchange = async {
            let connection = dial::connect(&self.cx, &self.server, &self.address).await;
            let sent = connection.map_err(|e| e.to_string())?.send(req).await;
            let sent =
                sent.inspect_err(|e| invalid_response::record(&self.cx, &self.server, "order", e));
            let (response, _task) = sent.map_err(|e| e.to_string())?;
            let (parts, body) = response.into_parts();
            upstream::discard(body, MAX_ANSWER_BYTES).await?;
            Ok(OrderResponse {
                status: parts.status,
                head: headers::response(parts.status, &parts.headers),
            })
        };
        let timed = tokio::time::timeout(ORDER_TIMEOUT, exchange).await;
        timed.unwrap_or_else(|_| Err("no response in time".to_owned()))
    }
}

async fn renew(terms: sync::Arc<Terms>) {
    let interval = terms.ttl / RENEWALS_PER_TTL;
    loop {
        tokio::time::sleep(interval).await;
        if !terms.user.is_alive(interval / 2).await {
            log_order(&terms, "renew", "the server that uses it is not reached");
            continue;
        }
        if let Err(e) = terms
            .reserve()
            .await
            .and_then(OrderResponse::require_granted)
        {
            log_order(&terms, "renew", &e);
        }
    }
}

/// Releases the memory in a task of its own, so that the caller does not wait.
fn release(terms: sync::Arc<Terms>) {
    let releasing = async move {
        let body = match orders::release(&terms.id) {
            Ok(body) => body,
            Err(e) => return log_order(&terms, "release", &e.to_string()),
        };
        match terms.send_order(body).await {
            Ok(response) if response.status.is_success() => {}
            Ok(response) => log_order(&terms, "release", &response.status.to_string()),
            Err(e) => log_order(&terms, "release", &e),
        }
    };
    // Without a runtime the process is exiting, and the reservation soon expires.
    if let Ok(rt) = tokio::runtime::Handle::try_current() {
        rt.spawn(releasing);
    }
}

fn log_order(terms: &Terms, order: &str, reason: &str) {
    log::emit(&event::Event::ReservationFailed {
        server: &terms.address,
        reservation: &terms.id,
        order,
        reason,
    });
}

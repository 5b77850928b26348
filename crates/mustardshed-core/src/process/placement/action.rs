//! Actions that placement returns to its caller.

use crate::{
    boundary::backend_server,
    ids, mutation,
    process::{action, placement::record},
};

/// What the caller of placement must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the lease object.
    ReadLease,
    /// Write the lease object if it is at `expected`.
    WriteLease {
        /// Version that it must have.
        expected: ids::ObjectVersion,
        /// Content.
        record: record::Record,
    },
    /// Read the load report of an engine.
    ReadEngine {
        /// Number of the weight load that it is for.
        ticket: u64,
        /// `IP:PORT` of the engine.
        address: String,
    },
    /// Give an order, unless [`may_send`] says at the send that it is too late; the call ends
    /// within [`super::lease::ORDER_TIMEOUT`].
    Order {
        /// Number of the weight load that it is for.
        ticket: u64,
        /// `IP:PORT` of the engine.
        address: String,
        /// Fencing number.
        fence: ids::FencingNumber,
        /// Order.
        order: backend_server::Order,
        /// Time until which it may be sent.
        send_by: ids::Timestamp,
    },
    /// Write a log event.
    Log(action::LogEvent),
}

/// Returns whether an order may still be sent; asked with the clock read at the send.
pub fn may_send(send_by: ids::Timestamp, now: ids::Timestamp) -> bool {
    now < send_by || mutation::on("order_sent_late")
}

//! Actions that placement asks its caller to carry out.

use crate::{
    boundary::backend_server,
    ids, mutation,
    process::{action, placement::record},
};

/// An action that the caller of placement must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the lease object.
    ReadLease,
    /// Write the lease object if its version is `expected`.
    WriteLease {
        /// Version that the object must have.
        expected: ids::ObjectVersion,
        /// New content.
        record: record::Record,
    },
    /// Read the load report of an engine.
    ReadEngine {
        /// Identifier of the weight load that it is for.
        ticket: u64,
        /// `IP:PORT` of the engine.
        address: String,
    },
    /// Send an order, unless [`may_send`] says at the send that it is too late; the call ends
    /// within [`super::lease::ORDER_TIMEOUT`].
    Order {
        /// Identifier of the weight load that it is for.
        ticket: u64,
        /// `IP:PORT` of the engine.
        address: String,
        /// Fencing number.
        fence: ids::FencingNumber,
        /// Order.
        order: backend_server::Order,
        /// Time before which it must be sent.
        send_by: ids::Timestamp,
    },
    /// Write a log event.
    Log(action::LogEvent),
}

/// Returns whether an order may still be sent; `now` must be read right before the send.
pub fn may_send(send_by: ids::Timestamp, now: ids::Timestamp) -> bool {
    now < send_by || mutation::on("order_sent_late")
}

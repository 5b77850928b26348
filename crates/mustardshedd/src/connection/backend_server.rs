//! Client of model engines and plain services over pooled HTTP connections.
//!
//! ```no_run
//! use mustardshed::core::boundary::backend_server::BackendServer;
//! use mustardshedd::connection::backend_server;
//!
//! # async fn example() {
//! let client = backend_server::open(backend_server::Timeouts::default());
//! let report = client.load("10.0.1.7:9000").await;
//! # }
//! ```

mod body;
mod client;
mod failure;
mod timeouts;
mod token_stream;
mod wire;

pub use client::Client;
pub use timeouts::Timeouts;

/// Opens a client for any number of backend servers.
pub fn open(timeouts: Timeouts) -> Client {
    Client::new(timeouts)
}

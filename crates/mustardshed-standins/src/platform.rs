//! Stand-in for the platform: an object API with watches, call counts, a VM list and faults.
//!
//! ```no_run
//! use mustardshed_standins::platform;
//!
//! # async fn run() -> std::io::Result<()> {
//! let server = platform::bind("127.0.0.1:0".parse().unwrap()).await?;
//! println!("{}", server.url());
//! # Ok(())
//! # }
//! ```

use std::{io, net, sync};

use crate::http;

mod admin_routes;
pub mod call;
pub mod calls;
pub mod faults;
pub mod faults_change;
pub mod item;
pub mod name;
pub mod object;
mod object_routes;
pub mod routes;
pub mod state;
pub mod store;
pub mod template;
pub mod vm;
pub mod vm_list;
pub mod watch;
pub mod write_log;

/// Size of the largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_024 * 1_024;

/// Starts a platform on `address`, empty and without faults.
///
/// # Errors
///
/// Returns the socket error if `address` can't be bound.
pub async fn bind(address: net::SocketAddr) -> io::Result<http::Server> {
    let state = sync::Arc::new(state::State::default());
    http::Server::bind(address, routes::all(state)).await
}

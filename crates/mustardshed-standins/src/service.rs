//! Stand-in for a plain service: records every execution, and turns cold or fails on request.
//!
//! ```no_run
//! use mustardshed_standins::service::{self, settings};
//!
//! # async fn run() -> std::io::Result<()> {
//! let settings = settings::Settings::new("payments", "north");
//! let server = service::bind("127.0.0.1:0".parse().unwrap(), settings).await?;
//! println!("{}", server.url());
//! # Ok(())
//! # }
//! ```

use std::{io, net, sync};

use crate::http;

mod admin_routes;
pub mod call;
pub mod call_pattern;
mod call_routes;
pub mod counts;
pub mod execution;
pub mod execution_log;
pub mod faults;
pub mod faults_change;
pub mod load_history;
pub mod load_report;
pub mod machine;
pub mod refusal;
mod routes;
pub mod settings;
mod state;

/// Starts a plain service on `address`.
///
/// # Errors
///
/// Returns the socket error if `address` can't be bound.
pub async fn bind(
    address: net::SocketAddr,
    settings: settings::Settings,
) -> io::Result<http::Server> {
    let state = sync::Arc::new(state::State::new(settings));
    http::Server::bind(address, routes::all(&state)).await
}

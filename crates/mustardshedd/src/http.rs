//! The listener for callers and operators.
//!
//! A `warp` service behind `hyper` connections, whose number, header size and idle time are
//! limited; `warp` itself does not limit them.

pub mod auth;
pub mod body;
pub mod bounded_io;
pub mod cx;
pub mod entries;
pub mod explain;
pub mod generate;
pub mod generate_request;
pub mod headers;
pub mod health;
pub mod limits;
pub mod message;
pub mod models;
pub mod operator;
pub mod operator_routes;
pub mod output_format;
pub mod prompt;
pub mod replay;
pub mod reply;
pub mod requests;
pub mod routes;
pub mod server;
pub mod services;
pub mod sse;
pub mod status;

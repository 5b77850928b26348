//! State that lives as long as a connection.

pub mod backend_server;
pub mod idle_timer;

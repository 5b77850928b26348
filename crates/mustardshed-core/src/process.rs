//! What lives as long as an entry process.

pub mod action;
pub mod event;
pub mod message;
pub mod node;
pub mod snapshot;

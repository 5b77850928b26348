//! What lives as long as an entry process.

pub mod snapshot;

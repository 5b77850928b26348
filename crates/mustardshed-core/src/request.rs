//! What lives as long as one request.

pub mod fate;

//! Decisions and state with the lifetime of one request.

pub mod admission;
pub mod assembly;
pub mod claim;
pub mod fate;
pub mod gang;
pub mod owner;
pub mod prefix;
pub mod priority_class;
pub mod retry;
pub mod route;

//! What lives as long as one request.
//!
//! A request is carried by a task of its own, its driver, which outlives neither the deadline nor,
//! unless the request is claimed, the caller. [`completion`] drives prompts and [`call`] calls of
//! plain services; both report over a bounded channel.

pub mod accounts;
pub mod admit;
pub mod attempts;
pub mod call;
pub mod completion;
pub mod cx;
pub mod failure;
pub mod full_output;
pub mod held_credit;
pub mod job;
pub mod lazy_map;
pub mod output;
pub mod placement;
pub mod refused;
pub mod report;
pub mod resolve;
pub mod send_check;
pub mod settlement;

//! State and tasks that live as long as one request.
//!
//! Each request is carried by a task of its own, its driver. [`completion`] drives prompts: such a
//! driver ends at the deadline at the latest, and also when the caller disconnects, unless the
//! request is claimed. [`call`] drives calls of plain services; only the driver of a call that must
//! not be repeated may run beyond the deadline, to learn its fate. Both report over a channel.

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

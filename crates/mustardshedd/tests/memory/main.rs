//! Memory of an entry as a real process, while others send it more than it can hold.

#![expect(
    clippy::unwrap_used,
    reason = "a fake or fixture that fails ends its test"
)]

mod allowed;
mod answers;
mod bodies;
mod client;
#[path = "../planned_stop/entry.rs"]
#[expect(dead_code, reason = "shared with the tests of planned stops")]
mod entry;
mod fixture;
mod server;

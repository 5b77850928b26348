//! An entry as a real process, while clients that nobody controls send it more than it can hold.

#![expect(
    clippy::unwrap_used,
    reason = "a fake or fixture that fails ends its test"
)]

#[path = "../memory/client.rs"]
#[expect(dead_code, reason = "shared with the tests of memory")]
mod client;
mod crowd;
mod deployed;
#[path = "../planned_stop/entry.rs"]
#[expect(dead_code, reason = "shared with the tests of planned stops")]
mod entry;
#[path = "../memory/fixture.rs"]
#[expect(dead_code, reason = "shared with the tests of memory")]
mod fixture;
mod ordinary;
mod run;
#[path = "../memory/server.rs"]
#[expect(dead_code, reason = "shared with the tests of memory")]
mod server;
mod sorts;

//! Entries as real processes that lose their paths to backend servers, under load.

#![expect(
    clippy::unwrap_used,
    reason = "a fake or fixture that fails ends its test"
)]

#[path = "../planned_stop/client.rs"]
mod client;
mod crashes;
mod cuts;
#[path = "../planned_stop/entry.rs"]
#[expect(dead_code, reason = "shared with the tests of planned stops")]
mod entry;
mod fixture;
#[path = "../planned_stop/oracle.rs"]
mod oracle;
mod path;
mod peers;
#[path = "../planned_stop/server.rs"]
#[expect(dead_code, reason = "shared with the tests of planned stops")]
mod server;
mod soak;
mod view;

//! Planned stops of forwarding entries as real processes, under load.

#![expect(
    clippy::unwrap_used,
    reason = "a fake or fixture that fails ends its test"
)]

mod client;
#[expect(dead_code, reason = "shared with the tests of memory")]
mod entry;
mod fixture;
#[expect(dead_code, reason = "shared with the tests of lost paths")]
mod oracle;
mod refusals;
#[expect(dead_code, reason = "shared with the tests of lost paths")]
mod server;
mod soak;
mod starts;
mod stops;

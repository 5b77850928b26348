//! Forwarding through an entry, with a stand-in for the platform and scripted servers.

#![expect(
    clippy::panic,
    clippy::unwrap_used,
    reason = "a fake or fixture that fails ends its test"
)]

mod account_shares;
mod bad_input;
mod broken;
mod calls;
mod closing;
mod crashes;
mod endless;
mod entries;
mod fixture;
mod gangs;
mod hedging;
mod invalid;
mod invalid_server;
mod keys;
mod late_messages;
mod log;
mod metrics;
mod notices;
mod odd_names;
mod partial_lists;
mod peer;
mod placement;
mod protected_streams;
mod refusals;
mod relays;
mod restored_platform;
mod server;
mod silent_platform;
mod slow_readers;
mod streams;
mod tunnels;
mod undecoded;
mod view;

//! Traffic through an entry whose platform, servers and control thread are fakes.

#![expect(
    clippy::panic,
    clippy::unwrap_used,
    reason = "a fake or fixture that fails ends its test"
)]

mod calls;
mod catalogues;
mod claims;
mod completions;
mod fakes;
mod frames;
mod gangs;
mod hostile;
mod listener;
mod stopping;
mod storm;

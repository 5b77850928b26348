//! Decisions on forwarded requests, without network or clock.

#![expect(clippy::expect_used, reason = "a fixture that fails ends its test")]

mod bids;
mod books;
mod budget;
mod cold_returns;
mod confirmation;
mod drafts;
mod fixtures;
mod herds;
mod ledger;
mod lost_data_centre;
mod notices;
mod own_reads;
mod planned_stop;
mod relays;
mod roster;
mod routes;
mod servers;
mod unknown;

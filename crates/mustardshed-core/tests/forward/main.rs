//! Decisions on forwarded requests, without network or clock.

mod books;
mod budget;
mod confirmation;
mod drafts;
mod fixtures;
mod ledger;
mod roster;
mod routes;
mod servers;

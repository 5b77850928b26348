//! Decisions on requests that are forwarded as they are, without being understood.
//!
//! A forwarded request carries its sizes in its head; its body and its answer are opaque. What is
//! decided here: which route and account it belongs to ([`routes`]), which backend server runs it
//! and which others help to read its prompt ([`placement`], by the estimates of [`engine`] and the
//! work in flight in [`ledger`]), what it may cost others ([`bid`]), whether it may be sent again
//! ([`attempts`], [`budget`]), how old the knowledge behind a refusal may be
//! ([`confirmation`](crate::version::confirmation), [`unknown`]), which entries callers are told
//! ([`roster`]), which entries tell which ([`relays`]), and what servers ask for in their answers
//! ([`notices`]).

pub mod attempts;
pub mod cost_limit;
pub mod engine;
pub mod fallback_reads;
pub mod head;
pub mod lateness;
pub mod live_entries;
pub mod load_tracker;
pub mod negative_cache;
pub mod notices;
pub mod placement;
pub mod planned_stop;
pub mod relays;
pub mod rendezvous;
pub mod retry_budget;
pub mod routes;
pub mod server;

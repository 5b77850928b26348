//! Decisions on requests that are forwarded without parsing their bodies.
//!
//! A forwarded request states its sizes in its head; its body and its response are opaque. The
//! modules decide: which route and account it belongs to ([`routes`]), which backend server runs it
//! and which others help to prefill its prompt ([`placement`], by the estimates of [`engine`] and
//! the work in flight in [`load_tracker`]), how much it counts against others ([`urgency`]) and may
//! delay them ([`cost_limit`]), how much of a service its account may use ([`account_shares`]),
//! whether it may be sent again ([`attempts`], [`retry_budget`]) or to a second server beside the
//! first ([`hedging`]), how old the knowledge behind a refusal may be
//! ([`confirmation`](crate::version::confirmation), [`negative_cache`]), which entries clients are
//! told of ([`live_entries`]), which entries exchange state ([`relays`]), whether a started entry has been
//! told of it ([`acquaintance`]), when their messages were sent ([`send_times`]), what servers ask for in their responses ([`notices`], [`advertised_limits`]), which responses are failures of their
//! servers ([`response_check`]), which requests crash servers ([`quarantine`],
//! [`repeated_crashes`]), which servers this entry reaches by itself ([`paths`]), when a signal was
//! sent ([`pauses`]), which servers had left before the platform's store was restored
//! ([`departures`]), how entries divide what a server accepts from all of them ([`rate_shares`]),
//! and how far a stream is read ahead of its client ([`read_ahead`]).

pub mod account_shares;
pub mod acquaintance;
pub mod advertised_limits;
pub mod attempts;
pub mod client_limits;
pub mod cost_limit;
pub mod departures;
pub mod engine;
pub mod fallback_reads;
pub mod head;
pub mod hedging;
pub mod lateness;
pub mod live_entries;
pub mod load_tracker;
pub mod memory_budget;
pub mod negative_cache;
pub mod notices;
pub mod paths;
pub mod pauses;
pub mod placement;
pub mod planned_stop;
pub mod quarantine;
pub mod rate_shares;
pub mod read_ahead;
pub mod relays;
pub mod rendezvous;
pub mod repeated_crashes;
pub mod response_check;
pub mod retry_budget;
pub mod routes;
pub mod send_times;
pub mod server;
pub mod urgency;

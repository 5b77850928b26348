//! Decisions on forwarded requests, without network or clock.

#![expect(clippy::expect_used, reason = "a failing fixture ends its test")]

mod account_shares;
mod acquaintance;
mod advertised_limits;
mod advertised_rate;
mod client_limits;
mod cold_flood;
mod cold_restart;
mod confirmation;
mod cost_limit;
mod deadly_requests;
mod fallback_reads;
mod fixtures;
mod hedging;
mod live_entries;
mod load_tracker;
mod long_prompts;
mod lost_data_centre;
mod memory_budget;
mod negative_cache;
mod notices;
mod paths;
mod pauses;
mod planned_stop;
mod protected_streams;
mod quarantine;
mod rate_shares;
mod read_ahead;
mod relays;
mod repeated_crashes;
mod repeated_requests;
mod response_check;
mod retry_budget;
mod routes;
mod routes_lint;
mod send_times;
mod servers;
mod short_prompts;
mod thundering_herd;
mod urgency;

//! Which server responds to a request, and which others help to prefill its prompt.
//!
//! Load patterns addressed:
//!
//! - Short requests beside very long prompts: prefilling such a prompt on one server stalls all
//!   decoding there for seconds. It is split into shards over many engines, on those where it makes
//!   the fewest decoding requests late.
//! - A burst of short requests: they are packed on few engines as long as these are fast enough, so
//!   that others stay free of decoding and can prefill.
//! - More long prompts than the engines can prefill: a request that would not begin before its
//!   client gives up is refused at once, with the time until the work ahead of it is done.
//! - Long prompts beside streams that must end before their entry is stopped: an engine takes on no
//!   more work than lets these streams end in time.
//!
//! Each possible placement costs the weight of the requests that it makes late, including the
//! request itself; the cheapest one is taken.

use std::time;

use displaydoc::Display;

use crate::{
    forward::{account_shares, engine, load_tracker, planned_stop, server},
    ids,
};

mod cost;
mod plain;
mod snapshot;

pub use plain::least_loaded;

/// Numbers of helpers that are evaluated, if there are as many other servers.
const HELPER_COUNTS: [usize; 9] = [0, 1, 2, 3, 5, 7, 9, 12, 15];
/// Minimum engine time of a shard, in milliseconds; smaller ones cost more passes than they save.
const MIN_SHARD_MS: f64 = 8.0;
/// Cost of one helper beside its prefill: a wake-up, and a failure that would hit the request.
const HELPER_COST: f64 = 0.03;
/// Cost of a reservation at a helper: two calls, and a refusal of either that would hit the
/// request.
const RESERVATION_COST: f64 = 0.3;
/// Cost of decoding on a server without similar requests, which then cannot prefill for others.
const SPREADING_COST: f64 = 0.6;
/// Cost of each slot by which a server exceeds the packing limit.
const CROWDING_COST: f64 = 0.4;
/// Cost of a second of waiting, for a request of weight one.
const WAITING_COST_PER_S: f64 = 0.05;
/// Cost of a second of engine time in a server's queue, to requests that are yet to come.
const BACKLOG_COST_PER_S: f64 = 0.3;
/// Cost of a server in another data centre.
const REMOTE_COST: f64 = 0.02;
/// Cost of sending work to a cold server, which may be slow at first; far below the weight of a
/// short request, so that it is not refused while a cold server has room.
const COLD_COST: f64 = 0.2;
/// Cost of a recent failure of the server, per unit of the request's weight.
const FAILURE_COST: f64 = 0.25;
/// Cost of a stream that would be cut at the end of its entry's planned stop: no request weighs as
/// much.
const CUT_COST: f64 = 1e6;
/// Share of a server's KV memory that requests are placed into; the rest is for longer responses.
const USABLE_MEMORY_SHARE: f64 = 0.94;
/// Share of a server's slots up to which similar requests are packed.
const MAX_PACKED_SHARE: f64 = 0.85;
/// Servers that are kept free of decoding if the others have enough slots: as many as prefill one
/// prompt at most.
const PREFILL_SERVERS: f64 = 16.0;
/// Minimum of the packing limit.
const MIN_PACKED_JOBS: f64 = 4.0;

/// What a request needs to be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Length of its prompt.
    pub prompt_tokens: ids::Tokens,
    /// Expected length of its response.
    pub output_tokens: ids::Tokens,
    /// Time from its arrival within which its first event is on time, in milliseconds.
    pub objective_ms: f64,
    /// Time from its arrival after which its client gives up, in milliseconds.
    pub timeout_ms: f64,
    /// Time at which it arrived.
    pub arrived_at: ids::Timestamp,
    /// Longest gap between its events that is on time, in milliseconds.
    pub gap_objective_ms: f64,
    /// Whether a server has already failed it; it is then served whatever it costs others.
    pub is_retry: bool,
    /// Share of its weight that it may cost others.
    pub max_cost_share: f64,
    /// Factor by which it counts more than less urgent requests of its service.
    pub urgency: f64,
    /// Limit that the planned stop of this entry sets to it, if it is a stream.
    pub stop: Option<planned_stop::Limit>,
}

impl Need {
    /// Returns the weight of the request against others.
    #[must_use]
    pub fn weight(&self) -> f64 {
        /// Prompt length that adds as much weight as the request itself.
        const TOKENS_PER_UNIT: f64 = 10_000.0;
        (1.0 + engine::tokens_f64(self.prompt_tokens) / TOKENS_PER_UNIT) * self.urgency
    }
}

/// A server that may be given work.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a server::Server,
    /// Whether it runs in the data centre of this entry.
    pub is_local: bool,
    /// Cost by which this entry prefers other servers, so that entries that do not know each
    /// other's work choose different ones.
    pub bias: f64,
    /// Requests per second that it may be sent while cold, if limited.
    pub cold_rate_limit: Option<f64>,
    /// Requests that this entry may send it now, if it limits those of all entries together.
    pub share_left: Option<usize>,
    /// Whether it advertises a rate limit; it then gets no orders.
    pub is_rate_limited: bool,
}

impl Candidate<'_> {
    /// Returns whether this entry may send it one more request.
    fn has_share(&self) -> bool {
        self.share_left.is_none_or(|left| left > 0)
    }
}

/// Where a request is placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// Server that responds.
    pub primary: ids::BackendServerId,
    /// Servers that help to prefill.
    pub helpers: Vec<load_tracker::Helper>,
    /// Engine time to prefill each shard, in milliseconds.
    pub shard_ms: f64,
    /// Estimated time to the first event, in milliseconds.
    pub estimate_ms: f64,
    /// Cost of the placement.
    pub cost: f64,
    /// Share of the cost that other requests are expected to lose.
    pub interference: f64,
    /// Protection against later requests, if this entry is being stopped.
    pub protection: Option<load_tracker::Protection>,
}

impl Placed {
    /// Returns the placement of a request to a plain service.
    #[must_use]
    pub fn plain(server: &ids::BackendServerId) -> Self {
        Self {
            primary: server.clone(),
            helpers: Vec::new(),
            shard_ms: 0.0,
            estimate_ms: 0.0,
            cost: 0.0,
            interference: 0.0,
            protection: None,
        }
    }

    /// Returns whether the response would not be complete before this entry ends.
    #[must_use]
    pub fn outlasts_stop(&self) -> bool {
        let protection = self.protection.as_ref();
        protection.is_some_and(|it| it.spare.is_zero())
    }

    /// Returns whether it is to be preferred to another placement.
    fn is_better_than(&self, other: &Self) -> bool {
        if self.outlasts_stop() == other.outlasts_stop() {
            self.cost < other.cost
        } else {
            other.outlasts_stop()
        }
    }

    /// Returns whether the request costs more than its weight, or costs others more than it may
    /// yet.
    fn is_too_costly(&self, need: &Need) -> bool {
        let weight = need.weight();
        !need.is_retry && (self.cost > weight || self.interference > weight * need.max_cost_share)
    }

    /// Returns the job that counts for the request once it is sent.
    #[must_use]
    pub fn job(&self, need: &Need) -> load_tracker::Job {
        load_tracker::Job {
            primary: self.primary.clone(),
            helpers: self.helpers.clone(),
            shard_ms: self.shard_ms,
            prompt_tokens: need.prompt_tokens,
            output_tokens: need.output_tokens,
            gap_objective_ms: need.gap_objective_ms,
            weight: need.weight(),
            objective_ms: need.objective_ms,
            timeout_ms: need.timeout_ms,
            arrived_at: need.arrived_at,
            is_decoding: false,
            account: None,
            protection: self.protection.clone().filter(|it| !it.spare.is_zero()),
        }
    }
}

/// Why a request is not placed.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum NotPlaced {
    /// no backend server of the service accepts work
    NoServer,
    /// all backend servers that accept work are full
    Full {
        /// Time until the work ahead is done.
        retry_after: time::Duration,
    },
    /// all backend servers that accept work have asked clients to back off
    BackedOff {
        /// Time until the first of them accepts requests again.
        retry_after: time::Duration,
    },
    /// it would delay other requests at a cost above its own weight
    TooCostly {
        /// Cost of the cheapest placement.
        cost: f64,
        /// Share of the cost that other requests are expected to lose.
        interference: f64,
        /// Weight of the request.
        weight: f64,
        /// Mean time until a server has finished its pending prefills.
        retry_after: time::Duration,
    },
    /// streams of entries that are being stopped would not end in time
    WouldCut {
        /// Time until the streams of a server have ended.
        retry_after: time::Duration,
    },
    /// its account uses more than its share of the service
    OverShare {
        /// Work in flight of the account.
        usage: account_shares::Usage,
        /// Ratio of its share to that.
        ratio: f64,
        /// Whether it would have taken a reserved slot.
        is_out_of_slots: bool,
        /// Time after which that is expected to have fallen to the share.
        retry_after: time::Duration,
    },
    /// its first event would come after its client has given up
    TooLate {
        /// Estimated time to its first event, in milliseconds.
        estimate_ms: f64,
        /// Time until the work ahead is done.
        retry_after: time::Duration,
    },
}

impl NotPlaced {
    /// Returns whether the reason may pass within a short wait.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        !matches!(
            self,
            // Kinds with longer objectives wait longer and would get most of an account's slots.
            Self::NoServer
                | Self::BackedOff { .. }
                | Self::OverShare {
                    is_out_of_slots: true,
                    ..
                }
        )
    }
}

/// When a refused client may retry if all slots are taken: about as long as a short request keeps
/// one.
const FULL_RETRY_AFTER: time::Duration = time::Duration::from_millis(1_800);
/// Shortest time after which a refused client may retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// Places a request on the engines of its service.
///
/// # Errors
///
/// Returns why the request cannot be placed.
pub fn place(
    load_tracker: &load_tracker::LoadTracker,
    candidates: &[Candidate<'_>],
    profile: &engine::Profile,
    need: &Need,
    now: ids::Timestamp,
) -> Result<Placed, NotPlaced> {
    let snapshot = snapshot::Snapshot::new(load_tracker, candidates, profile, now);
    if snapshot.servers.is_empty() {
        return Err(NotPlaced::NoServer);
    }
    let prefill_ms = profile.prefill_ms(need.prompt_tokens);
    let mut best: Option<Placed> = None;
    for count in HELPER_COUNTS {
        let shard_ms = prefill_ms / (count_f64(count) + 1.0);
        if count > 0 && (count >= snapshot.servers.len() || shard_ms < MIN_SHARD_MS) {
            break;
        }
        for placed in cost::placements(&snapshot, need, shard_ms, count) {
            if best.as_ref().is_none_or(|best| placed.is_better_than(best)) {
                best = Some(placed);
            }
        }
    }
    let waited_ms = now.saturating_sub(need.arrived_at).as_secs_f64() * 1_000.0;
    match best {
        None => Err(NotPlaced::Full {
            retry_after: FULL_RETRY_AFTER,
        }),
        Some(placed) if waited_ms + placed.estimate_ms > need.timeout_ms => {
            Err(NotPlaced::TooLate {
                estimate_ms: placed.estimate_ms,
                retry_after: engine::millis(placed.estimate_ms - need.objective_ms)
                    .max(MIN_RETRY_AFTER),
            })
        }
        Some(placed) if placed.interference >= CUT_COST && !need.is_retry => {
            Err(NotPlaced::WouldCut {
                retry_after: snapshot.protected_for(),
            })
        }
        Some(placed) if placed.is_too_costly(need) => Err(NotPlaced::TooCostly {
            cost: placed.cost,
            interference: placed.interference,
            weight: need.weight(),
            retry_after: snapshot
                .mean_backlog()
                .max(engine::millis(need.objective_ms / 3.0)),
        }),
        Some(placed) => Ok(placed),
    }
}

fn accepts_work(
    load_tracker: &load_tracker::LoadTracker,
    candidate: &Candidate<'_>,
    now: ids::Timestamp,
) -> bool {
    let id = &candidate.server.id;
    let health = load_tracker.health(id);
    if health.is_ejected(now) || (health.is_on_probation() && load_tracker.in_flight(id) > 0) {
        return false;
    }
    let arrivals = count_f64(load_tracker.recent_arrivals(id, now));
    candidate
        .cold_rate_limit
        .is_none_or(|rate| arrivals + 1.0 <= rate)
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
const fn count_f64(count: usize) -> f64 {
    count as f64
}

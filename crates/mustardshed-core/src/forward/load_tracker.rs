//! What is in flight on each backend server, sent by this entry and by its peers.
//!
//! Engines report their load late, so every entry tells its peers at once what it sends, when the
//! first event came, and when a request ended. All entries then know the work ahead of a new
//! request.

use std::{collections, time};

use crate::{
    forward::{account_shares, engine, lateness},
    ids,
};

mod health;
mod load;
mod sent_work;
mod server_queue;
mod work;

pub use health::Health;
pub use load::{Load, PendingPrefill, ProtectedStream};
pub use server_queue::ARRIVAL_WINDOW;
pub use work::Work;

/// Identifies a job by the entry that sent it and that entry's number for it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobKey {
    /// Entry that sent it.
    pub vm: ids::VmId,
    /// Number within the entry's run.
    pub number: u64,
}

/// A server that prefills a shard of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Helper {
    /// Name of the server.
    pub server: ids::BackendServerId,
    /// Tokens of the prompt that it holds in a reservation; zero if it only prefills.
    pub held_tokens: ids::Tokens,
}

/// Protection of a stream that was accepted during a planned stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Protection {
    /// Time by which the stream must be complete.
    pub ends_at: ids::Timestamp,
    /// Engine time that its server could spend on later requests when it was sent.
    pub spare: time::Duration,
    /// Requests of which its entry knew then: all others count as later ones. Unknown if an entry of
    /// an earlier build has sent the stream; those that arrived after it count as later ones then.
    pub known: Option<collections::BTreeSet<JobKey>>,
}

/// Work that a server was sent after a protected stream.
#[derive(Clone, Debug, PartialEq)]
pub struct LaterWork {
    /// Name of the server.
    pub server: ids::BackendServerId,
    /// Request that brought the work.
    pub key: JobKey,
    /// The work.
    pub work: Work,
}

/// A request in flight on a backend server and its helpers.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Server that responds.
    pub primary: ids::BackendServerId,
    /// Servers that prefill shards of the prompt.
    pub helpers: Vec<Helper>,
    /// Engine time to prefill one shard, the same for each of the servers, in milliseconds.
    pub shard_ms: f64,
    /// Length of the prompt.
    pub prompt_tokens: ids::Tokens,
    /// Expected length of the response.
    pub output_tokens: ids::Tokens,
    /// Longest gap between its events that is on time, in milliseconds.
    pub gap_objective_ms: f64,
    /// Weight of the request against others.
    pub weight: f64,
    /// Time from its arrival within which its first event is on time, in milliseconds.
    pub objective_ms: f64,
    /// Time from its arrival after which its client gives up, in milliseconds.
    pub timeout_ms: f64,
    /// Time at which the request arrived.
    pub arrived_at: ids::Timestamp,
    /// Whether its first event has come.
    pub is_decoding: bool,
    /// Account that it counts for, if that is known.
    pub account: Option<ids::ClientAccountId>,
    /// Protection against later requests, if its entry is being stopped.
    pub protection: Option<Protection>,
}

impl Job {
    /// Returns the servers that prefill its prompt, the primary first.
    pub fn prefill_servers(&self) -> impl Iterator<Item = &ids::BackendServerId> {
        let helpers = self.helpers.iter().map(|helper| &helper.server);
        std::iter::once(&self.primary).chain(helpers)
    }

    /// Returns the tokens that helpers hold.
    #[must_use]
    pub fn held_tokens(&self) -> ids::Tokens {
        self.helpers.iter().map(|helper| helper.held_tokens).sum()
    }

    /// Returns the work that it brings to a server.
    fn work(&self, server: &str) -> Work {
        let held = if self.primary == server {
            self.prompt_tokens.saturating_sub(self.held_tokens())
        } else {
            let mut helpers = self.helpers.iter();
            let helper = helpers.find(|helper| helper.server == server);
            helper.map_or(0, |helper| helper.held_tokens)
        };
        let prefill = Work::prefill(self.shard_ms);
        if held == 0 {
            return prefill;
        }
        prefill + Work::decoding(self.output_tokens, held)
    }

    /// Returns whether work at a server delays the rest of its response.
    fn depends_on(&self, server: &str) -> bool {
        !self.is_decoding || self.primary == server
    }

    /// Returns the expected loss if its first event comes `after_ms` from now.
    #[must_use]
    pub fn expected_loss(&self, after_ms: f64, now: ids::Timestamp) -> f64 {
        let waited = now.saturating_sub(self.arrived_at).as_secs_f64() * 1_000.0;
        lateness::expected_loss(waited + after_ms, self.objective_ms, self.timeout_ms) * self.weight
    }
}

/// Jobs by server.
#[derive(Debug, Default)]
pub struct LoadTracker {
    jobs: collections::HashMap<JobKey, Job>,
    servers: collections::HashMap<ids::BackendServerId, server_queue::ServerQueue>,
    /// Work in flight by account, if it is counted.
    accounts: Option<account_shares::UsageTracker>,
}

impl LoadTracker {
    /// Creates a tracker without jobs that also counts the work of each account.
    #[must_use]
    pub fn with_accounts() -> Self {
        Self {
            accounts: Some(account_shares::UsageTracker::default()),
            ..Self::default()
        }
    }

    /// Returns the work of each account, if it is counted.
    #[must_use]
    pub const fn accounts(&self) -> Option<&account_shares::UsageTracker> {
        self.accounts.as_ref()
    }

    /// Returns the work of each account, to be told which services servers run.
    pub const fn accounts_mut(&mut self) -> Option<&mut account_shares::UsageTracker> {
        self.accounts.as_mut()
    }

    /// Records a job that this entry sends. Returns the job; the protection of a stream then names the
    /// requests that are known at its servers.
    pub fn send(&mut self, key: &JobKey, mut job: Job, now: ids::Timestamp) -> Job {
        let queues = job.prefill_servers().filter_map(|id| self.servers.get(id));
        let known = queues.flat_map(|queue| queue.sent_work.keys());
        let known = job.protection.is_some().then(|| known.cloned().collect());
        if let Some(protection) = &mut job.protection {
            protection.known = known;
        }
        self.start(key.clone(), job.clone(), now);
        job
    }

    /// Records a job that this entry or a peer has sent.
    pub fn start(&mut self, key: JobKey, job: Job, now: ids::Timestamp) {
        if self.jobs.contains_key(&key) {
            self.end(&key, now);
        }
        for server in job.prefill_servers() {
            let queue = self.servers.entry(server.clone()).or_default();
            queue.start(server, &key, &job, now);
        }
        let queue = self.servers.entry(job.primary.clone()).or_default();
        queue.record_arrival(now);
        if let Some(accounts) = &mut self.accounts {
            accounts.start(&job);
        }
        self.jobs.insert(key, job);
    }

    /// Records work of which a peer tells, unless its request is known: it may have ended before this
    /// entry was linked to its sender.
    pub fn adopt(&mut self, later: &LaterWork, now: ids::Timestamp) {
        let queue = self.servers.entry(later.server.clone()).or_default();
        queue.sent_work.adopt(&later.key, later.work, now);
    }

    /// Returns the work that the servers of a protected stream were sent after it.
    #[must_use]
    pub fn later_work(&self, stream: &JobKey) -> Vec<LaterWork> {
        let Some(job) = self.jobs.get(stream) else {
            return Vec::new();
        };
        let later = job.prefill_servers().flat_map(|server| {
            let later = self.later_at(server, stream, job);
            later.map(|(key, work)| LaterWork {
                server: server.clone(),
                key: key.clone(),
                work,
            })
        });
        later.collect()
    }

    /// Returns how much of its spare engine time is left to the server of a protected stream, on
    /// engines of this profile.
    #[must_use]
    pub fn spare_left(&self, stream: &JobKey, profile: &engine::Profile) -> time::Duration {
        let job = self.jobs.get(stream);
        let Some((job, protection)) = job.and_then(|job| Some((job, job.protection.as_ref()?)))
        else {
            return time::Duration::ZERO;
        };
        let left = job.prefill_servers().map(|server| {
            let later: Work = self.later_at(server, stream, job).map(|(_, it)| it).sum();
            let slowdown = self.health(server).slowdown();
            protection
                .spare
                .saturating_sub(engine::millis(later.ms(profile) * slowdown))
        });
        left.min().unwrap_or_default()
    }

    /// Returns the work that a server was sent after a stream.
    fn later_at<'a>(
        &'a self,
        server: &str,
        stream: &'a JobKey,
        job: &'a Job,
    ) -> impl Iterator<Item = (&'a JobKey, Work)> {
        let protection = job.protection.as_ref();
        let found = self.servers.get(server).zip(protection);
        let later = found.map(|(queue, protection)| {
            let sent_work = &queue.sent_work;
            sent_work.later_than(stream, protection, job.arrived_at)
        });
        later.into_iter().flatten()
    }

    /// Records the first event of a job, whose prompt is then prefilled.
    pub fn record_first_event(&mut self, key: &JobKey, now: ids::Timestamp) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if let Some(accounts) = &mut self.accounts {
            accounts.finish_prefill(job);
        }
        job.is_decoding = true;
        let prefill_servers: Vec<ids::BackendServerId> = job.prefill_servers().cloned().collect();
        for server in prefill_servers {
            if let Some(queue) = self.servers.get_mut(&server) {
                queue.finish_prefill(key, now);
            }
        }
    }

    /// Records the end of a job.
    pub fn end(&mut self, key: &JobKey, now: ids::Timestamp) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        if let Some(accounts) = &mut self.accounts {
            accounts.end(&job);
        }
        for server in job.prefill_servers() {
            if let Some(queue) = self.servers.get_mut(server) {
                queue.end(key, now);
            }
        }
    }

    /// Removes all jobs of an entry.
    pub fn remove_entry(&mut self, vm: &str, now: ids::Timestamp) {
        let keys = self.jobs.keys().filter(|key| key.vm == vm);
        let keys: Vec<JobKey> = keys.cloned().collect();
        for key in keys {
            self.end(&key, now);
        }
    }

    /// Removes the jobs of all other entries.
    pub fn retain_entry(&mut self, vm: &str, now: ids::Timestamp) {
        let keys = self.jobs.keys().filter(|key| key.vm != vm);
        let keys: Vec<JobKey> = keys.cloned().collect();
        for key in keys {
            self.end(&key, now);
        }
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobKey, &Job)> {
        self.jobs.iter()
    }

    /// Returns the jobs of an entry.
    pub fn jobs_of(&self, vm: &str) -> impl Iterator<Item = (&JobKey, &Job)> {
        self.jobs.iter().filter(move |(key, _)| key.vm == vm)
    }

    /// Returns the number of requests in flight on a server as their primary.
    #[must_use]
    pub fn in_flight(&self, server: &str) -> usize {
        let jobs = self
            .servers
            .get(server)
            .into_iter()
            .flat_map(|queue| &queue.jobs);
        let jobs = jobs.filter_map(|key| self.jobs.get(key));
        jobs.filter(|job| job.primary == server).count()
    }

    /// Returns the load of a server.
    #[must_use]
    pub fn load<'a>(&'a self, server: &'a str, now: ids::Timestamp) -> Load<'a> {
        let mut load = Load::new(server);
        let Some(queue) = self.servers.get(server) else {
            return load;
        };
        for job in queue.jobs.iter().filter_map(|key| self.jobs.get(key)) {
            load.add(job);
        }
        for (key, done_ms) in queue.pending_prefills(now) {
            if let Some(job) = self.jobs.get(key) {
                load.prefills.push(PendingPrefill { job, key, done_ms });
            }
        }
        for key in &queue.protected {
            if let Some(job) = self.jobs.get(key)
                && let Some(protection) = &job.protection
                && job.depends_on(server)
            {
                let later = self.later_at(server, key, job).map(|(_, work)| work);
                load.protected.push(ProtectedStream {
                    ends_at: protection.ends_at,
                    spare: protection.spare,
                    later: later.sum(),
                });
            }
        }
        load
    }

    /// Returns the number of requests sent to a server within the last second.
    #[must_use]
    pub fn recent_arrivals(&self, server: &str, now: ids::Timestamp) -> usize {
        self.servers
            .get(server)
            .map_or(0, |queue| queue.recent_arrivals(now))
    }

    /// Returns the observed health of a server.
    #[must_use]
    pub fn health(&self, server: &str) -> Health {
        self.servers
            .get(server)
            .map_or_else(Health::default, |queue| queue.health)
    }

    /// Returns the observed health of a server, to be changed.
    pub fn health_mut(&mut self, server: &str) -> &mut Health {
        &mut self.servers.entry(server.to_owned()).or_default().health
    }

    /// Removes servers that are no longer listed and have nothing in flight.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.servers
            .retain(|id, queue| is_listed(id) || !queue.jobs.is_empty());
        if let Some(accounts) = &mut self.accounts {
            accounts.retain_servers(is_listed);
        }
    }
}

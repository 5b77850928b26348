//! Work in flight of each account, kept up to date as jobs start and end.

use std::collections;

use crate::{forward::load_tracker, ids};

/// Work in flight of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests, each of which holds a slot.
    pub slots: usize,
    /// Engine time of prompts that are not prefilled yet, in milliseconds.
    pub prefill_ms: f64,
    /// Expected length of all responses.
    pub output_tokens: ids::Tokens,
}

impl Usage {
    fn add(&mut self, other: &Self) {
        self.slots += other.slots;
        self.prefill_ms += other.prefill_ms;
        self.output_tokens += other.output_tokens;
    }

    fn subtract(&mut self, other: &Self) {
        self.slots = self.slots.saturating_sub(other.slots);
        self.prefill_ms = (self.prefill_ms - other.prefill_ms).max(0.0);
        self.output_tokens = self.output_tokens.saturating_sub(other.output_tokens);
        if self.slots == 0 {
            // Ends the rounding errors of the sum.
            *self = Self::default();
        }
    }
}

/// Work in flight by account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ByAccount {
    named: collections::HashMap<ids::ClientAccountId, Usage>,
    /// Jobs without an account, which count together.
    unnamed: Usage,
}

impl ByAccount {
    /// Returns the work of an account.
    #[must_use]
    pub fn of(&self, account: &str) -> Usage {
        self.named.get(account).copied().unwrap_or_default()
    }

    /// Returns the work of each account that has any, and that of jobs without an account.
    pub fn usages(&self) -> impl Iterator<Item = &Usage> {
        let unnamed = Some(&self.unnamed).filter(|usage| usage.slots > 0);
        self.named.values().chain(unnamed)
    }

    /// Returns the named account that holds most slots.
    #[must_use]
    pub fn largest(&self) -> Option<(&ids::ClientAccountId, &Usage)> {
        self.named.iter().max_by_key(|(_, usage)| usage.slots)
    }

    fn add(&mut self, account: Option<&str>, usage: &Usage) {
        let Some(account) = account else {
            return self.unnamed.add(usage);
        };
        match self.named.get_mut(account) {
            Some(sum) => sum.add(usage),
            None => {
                self.named.insert(account.to_owned(), *usage);
            }
        }
    }

    fn subtract(&mut self, account: Option<&str>, usage: &Usage) {
        let Some(account) = account else {
            return self.unnamed.subtract(usage);
        };
        if let Some(sum) = self.named.get_mut(account) {
            sum.subtract(usage);
            if sum.slots == 0 {
                self.named.remove(account);
            }
        }
    }

    fn each(&self) -> impl Iterator<Item = (Option<&str>, &Usage)> {
        let named = self.named.iter();
        let named = named.map(|(account, usage)| (Some(account.as_str()), usage));
        named.chain(std::iter::once((None, &self.unnamed)))
    }
}

#[derive(Debug, Default)]
struct ServerUsage {
    /// Service that it runs, once it is listed.
    service: Option<ids::ServiceId>,
    by_account: ByAccount,
}

/// Work in flight by account on each server and on each service.
#[derive(Debug, Default)]
pub struct UsageTracker {
    servers: collections::HashMap<ids::BackendServerId, ServerUsage>,
    services: collections::HashMap<ids::ServiceId, ByAccount>,
}

impl UsageTracker {
    /// Records the service that a listed server runs; its jobs may have been known before.
    pub fn assign(&mut self, server: &str, service: &str) {
        let known = self.servers.get(server);
        if known.is_some_and(|usage| usage.service.as_deref() == Some(service)) {
            return;
        }
        let usage = self.servers.entry(server.to_owned()).or_default();
        let earlier = usage.service.replace(service.to_owned());
        if let Some(sums) = earlier.and_then(|earlier| self.services.get_mut(&earlier)) {
            for (account, usage) in usage.by_account.each() {
                sums.subtract(account, usage);
            }
        }
        let sums = self.services.entry(service.to_owned()).or_default();
        for (account, usage) in usage.by_account.each() {
            if usage.slots > 0 {
                sums.add(account, usage);
            }
        }
    }

    /// Counts a job that has started.
    pub fn start(&mut self, job: &load_tracker::Job) {
        let usage = Usage {
            slots: 1,
            prefill_ms: pending_prefill_ms(job),
            output_tokens: job.output_tokens,
        };
        self.change(job, |sums| sums.add(job.account.as_deref(), &usage));
    }

    /// Records that the prompt of a job is prefilled; call it before the job is changed.
    pub fn finish_prefill(&mut self, job: &load_tracker::Job) {
        let usage = Usage {
            prefill_ms: pending_prefill_ms(job),
            ..Usage::default()
        };
        self.change(job, |sums| sums.subtract(job.account.as_deref(), &usage));
    }

    /// Removes a job that has ended.
    pub fn end(&mut self, job: &load_tracker::Job) {
        let usage = Usage {
            slots: 1,
            prefill_ms: pending_prefill_ms(job),
            output_tokens: job.output_tokens,
        };
        self.change(job, |sums| sums.subtract(job.account.as_deref(), &usage));
    }

    /// Removes servers that are no longer listed and have nothing in flight.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.servers
            .retain(|id, usage| is_listed(id) || usage.by_account.usages().next().is_some());
    }

    /// Returns the work in flight on a service.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Option<&ByAccount> {
        self.services.get(service)
    }

    /// Returns the number of requests in flight on a server.
    #[must_use]
    pub fn in_flight(&self, server: &str) -> usize {
        let usage = self.servers.get(server).into_iter();
        let usages = usage.flat_map(|usage| usage.by_account.usages());
        usages.map(|usage| usage.slots).sum()
    }

    fn change(&mut self, job: &load_tracker::Job, change: impl Fn(&mut ByAccount)) {
        if !self.servers.contains_key(&job.primary) {
            self.servers
                .insert(job.primary.clone(), ServerUsage::default());
        }
        let Some(usage) = self.servers.get_mut(&job.primary) else {
            return;
        };
        change(&mut usage.by_account);
        let service = usage.service.as_ref();
        if let Some(sums) = service.and_then(|service| self.services.get_mut(service)) {
            change(sums);
        }
    }
}

/// Returns the engine time that the prefill of a job still takes on all of its servers, in
/// milliseconds.
fn pending_prefill_ms(job: &load_tracker::Job) -> f64 {
    if job.is_decoding {
        return 0.0;
    }
    job.prefill_servers().map(|_| job.shard_ms).sum()
}

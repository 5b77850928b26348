//! Work to be placed on a backend server.

use mustardshed_config::{settings, text};

use crate::{
    ids,
    process::snapshot,
    request::{priority_class, route::recent},
};

/// Kind of backend server that the work needs.
#[derive(Clone, Copy, Debug)]
pub enum Target<'a> {
    /// An engine that has a model loaded.
    Model {
        /// Model.
        model: &'a text::Model,
        /// Kind of the engines that run it.
        kind: &'a text::EngineKind,
    },
    /// A plain service.
    Plain {
        /// Name of the service.
        service: &'a str,
        /// Maximum number of calls that one server serves at once.
        max_running: u32,
        /// Maximum number of calls that a cold server serves at once.
        cold_limit: u32,
    },
}

/// A prompt prefix that a server probably has in its cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedPrefix {
    /// Server that probably has it.
    pub server: ids::BackendServerId,
    /// Length in tokens.
    pub tokens: ids::Tokens,
}

/// Work to be placed on one backend server.
#[derive(Clone, Debug)]
pub struct Work<'a> {
    /// Kind of server that it needs.
    pub target: Target<'a>,
    /// Prompt length in tokens.
    pub prompt_tokens: ids::Tokens,
    /// Maximum KV memory that it holds, in tokens.
    pub memory_tokens: ids::Tokens,
    /// Prefix that one server probably has in its cache.
    pub cached_prefix: Option<CachedPrefix>,
    /// Servers that were already tried.
    pub tried: &'a [ids::BackendServerId],
    /// Load that this entry has routed since the snapshot was taken.
    pub recent: Option<&'a recent::RecentRoutes>,
    /// Routing policy.
    pub routing: settings::Routing,
    /// Seed of the random sample.
    pub seed: u64,
}

impl<'a> Work<'a> {
    /// Makes work without prompt, memory or previous attempts.
    pub const fn new(target: Target<'a>, seed: u64) -> Self {
        Self {
            target,
            prompt_tokens: 0,
            memory_tokens: 0,
            cached_prefix: None,
            tried: &[],
            recent: None,
            routing: settings::Routing::Estimate,
            seed,
        }
    }

    /// Sets the prompt length and the maximum output length, in tokens.
    #[must_use]
    pub const fn tokens(mut self, prompt: ids::Tokens, output: ids::Tokens) -> Self {
        self.prompt_tokens = prompt;
        self.memory_tokens = prompt.saturating_add(output);
        self
    }

    /// Sets the load that this entry has routed since the snapshot was taken.
    #[must_use]
    pub const fn recent(mut self, recent: &'a recent::RecentRoutes) -> Self {
        self.recent = Some(recent);
        self
    }

    /// Sets the routing policy.
    #[must_use]
    pub const fn routing(mut self, routing: settings::Routing) -> Self {
        self.routing = routing;
        self
    }

    /// Sets the servers that were already tried.
    #[must_use]
    pub const fn tried(mut self, tried: &'a [ids::BackendServerId]) -> Self {
        self.tried = tried;
        self
    }

    /// Sets the prefix that one server probably has in its cache.
    #[must_use]
    pub fn cached_prefix(mut self, prefix: Option<CachedPrefix>) -> Self {
        self.cached_prefix = prefix;
        self
    }

    /// Returns the priority class of the work.
    pub fn priority_class(&self) -> priority_class::PriorityClass {
        priority_class::PriorityClass::for_prompt(self.prompt_tokens)
    }

    /// Returns whether a server is of the kind that the work needs.
    pub fn matches_kind(&self, server: &snapshot::ServerView) -> bool {
        match self.target {
            Target::Model { kind, .. } => server.kind == kind.name,
            Target::Plain { service, .. } => server.kind == service,
        }
    }

    /// Returns the number of prompt tokens that a server must prefill.
    pub fn uncached_tokens(&self, server: &snapshot::ServerView) -> ids::Tokens {
        match &self.cached_prefix {
            Some(prefix) if prefix.server == server.id => {
                self.prompt_tokens.saturating_sub(prefix.tokens)
            }
            _ => self.prompt_tokens,
        }
    }
}

//! One request in the scheduler.

use std::{sync, sync::atomic};

use tokio::sync::watch;

use crate::{
    engine::{progress, prompt},
    oracle,
};

/// A request to be admitted by the engine.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Identifier of the request.
    pub id: String,
    /// Model to run.
    pub model: String,
    /// Prompt.
    pub prompt: prompt::Prompt,
    /// Output length in tokens, counted from the first token even if `offset` skips it.
    pub max_tokens: u64,
    /// Index of the first output token to generate.
    pub offset: u64,
    /// Priority; lower runs first.
    pub priority: u32,
    /// Number of engines of the gang; one for a single engine.
    pub gang_size: u64,
}

impl Admission {
    /// Returns the number of tokens that each engine of the gang prefills.
    pub fn prefill_share(&self) -> u64 {
        (self.prompt.tokens + self.offset).div_ceil(self.gang_size.max(1))
    }

    /// Returns the KV memory that the request holds on each of its engines, in tokens.
    pub fn share(&self) -> u64 {
        (self.prompt.tokens + self.max_tokens).div_ceil(self.gang_size.max(1))
    }
}

/// Shard of a request that another engine of the gang leads.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Identifier of the request.
    pub id: String,
    /// Tokens to prefill.
    pub prefill_tokens: u64,
    /// Priority; lower runs first.
    pub priority: u32,
}

/// View of a request for its streams.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Identifier of the request.
    pub id: String,
    /// Output of the request.
    pub oracle: oracle::Oracle,
    /// Output length in tokens.
    pub max_tokens: u64,
    /// Progress.
    pub progress: watch::Receiver<progress::Progress>,
    /// Index after the last token that was written to a stream.
    pub sent: sync::Arc<atomic::AtomicU64>,
}

/// State of one request.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) priority: u32,
    pub(crate) oracle: oracle::Oracle,
    pub(crate) prefixes: sync::Arc<[u64]>,
    pub(crate) max_tokens: u64,
    pub(crate) prefill_left: u64,
    /// Number of engines of the gang that are still prefilling.
    pub(crate) members_left: u64,
    /// Whether it is a shard for another engine's request.
    pub(crate) member: bool,
    pub(crate) record: u64,
    pub(crate) sent: sync::Arc<atomic::AtomicU64>,
    pub(crate) progress: watch::Sender<progress::Progress>,
}

impl Job {
    /// Returns the initial state of an admitted request.
    pub(crate) fn of_admission(
        req: Admission,
        cached: u64,
        record: u64,
        sent: sync::Arc<atomic::AtomicU64>,
    ) -> Self {
        let gang_size = req.gang_size.max(1);
        let prefixes = match gang_size {
            1 => req.prompt.prefixes,
            _ => sync::Arc::new([]),
        };
        let work = (req.prompt.tokens + req.offset).saturating_sub(cached);
        let progress = progress::Progress {
            produced: req.offset,
            ..progress::Progress::default()
        };
        Self {
            id: req.id,
            priority: req.priority,
            oracle: req.prompt.oracle,
            prefixes,
            max_tokens: req.max_tokens,
            prefill_left: work.div_ceil(gang_size),
            members_left: gang_size - 1,
            member: false,
            record,
            sent,
            progress: watch::Sender::new(progress),
        }
    }

    /// Returns the initial state of a shard that this engine prefills.
    pub(crate) fn of_membership(
        req: Membership,
        record: u64,
        sent: sync::Arc<atomic::AtomicU64>,
    ) -> Self {
        Self {
            id: req.id,
            priority: req.priority,
            oracle: oracle::Oracle::of_hash(0),
            prefixes: sync::Arc::new([]),
            max_tokens: 0,
            prefill_left: req.prefill_tokens,
            members_left: 0,
            member: true,
            record,
            sent,
            progress: watch::Sender::new(progress::Progress::default()),
        }
    }

    /// Returns the view that output streams use.
    pub(crate) fn handle(&self) -> Handle {
        Handle {
            id: self.id.clone(),
            oracle: self.oracle,
            max_tokens: self.max_tokens,
            progress: self.progress.subscribe(),
            sent: sync::Arc::clone(&self.sent),
        }
    }

    /// Returns whether it waits for decode steps.
    pub(crate) fn decodes(&self) -> bool {
        self.prefill_left == 0 && self.members_left == 0 && !self.member && !self.ended()
    }

    /// Returns whether it has ended.
    pub(crate) fn ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }
}

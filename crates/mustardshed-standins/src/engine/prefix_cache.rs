//! Prefix cache in the free part of the KV memory.

use std::collections;

use crate::engine::prompt;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// A prefix was stored.
    Stored,
    /// A prefix was evicted.
    Evicted,
}

/// Change of the cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheChange {
    /// Kind of the change.
    pub kind: CacheEventKind,
    /// xxh3-64 of the prefix.
    pub prefix: u64,
    /// Length of the prefix in tokens.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    used_at: u64,
    depth: u64,
}

/// Blocks of prompts, the least recently used evicted first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    blocks: collections::HashMap<u64, Block>,
    by_use: collections::BTreeSet<(u64, u64)>,
    uses: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Returns how many tokens of a prompt are cached, and marks their blocks as recently used.
    pub fn lookup(&mut self, prefixes: &[u64]) -> u64 {
        let hits = prefixes
            .iter()
            .take_while(|prefix| self.blocks.contains_key(prefix))
            .count();
        for prefix in prefixes[..hits].iter().rev() {
            self.touch(*prefix);
        }
        hits as u64 * prompt::BLOCK_TOKENS
    }

    /// Stores as many of a prompt's blocks as fit into `limit_tokens`.
    pub fn store(&mut self, prefixes: &[u64], limit_tokens: u64) {
        let fit = (limit_tokens / prompt::BLOCK_TOKENS) as usize;
        let stored = &prefixes[..prefixes.len().min(fit)];
        for (i, prefix) in stored.iter().enumerate().rev() {
            self.insert(*prefix, i as u64 + 1);
        }
        self.shrink(limit_tokens);
    }

    /// Evicts blocks until the cache holds no more than `limit_tokens`.
    pub fn shrink(&mut self, limit_tokens: u64) {
        let limit = (limit_tokens / prompt::BLOCK_TOKENS) as usize;
        while self.blocks.len() > limit {
            let Some((_, prefix)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(block) = self.blocks.remove(&prefix) {
                self.note(CacheEventKind::Evicted, prefix, block.depth);
            }
        }
    }

    /// Evicts everything.
    pub fn clear(&mut self) {
        self.shrink(0);
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn insert(&mut self, prefix: u64, depth: u64) {
        if self.blocks.contains_key(&prefix) {
            self.touch(prefix);
            return;
        }
        self.uses += 1;
        let used_at = self.uses;
        self.blocks.insert(prefix, Block { used_at, depth });
        self.by_use.insert((used_at, prefix));
        self.note(CacheEventKind::Stored, prefix, depth);
    }

    fn touch(&mut self, prefix: u64) {
        self.uses += 1;
        if let Some(block) = self.blocks.get_mut(&prefix) {
            self.by_use.remove(&(block.used_at, prefix));
            block.used_at = self.uses;
            self.by_use.insert((self.uses, prefix));
        }
    }

    fn note(&mut self, kind: CacheEventKind, prefix: u64, depth: u64) {
        let tokens = depth * prompt::BLOCK_TOKENS;
        self.changes.push(CacheChange {
            kind,
            prefix,
            tokens,
        });
    }
}

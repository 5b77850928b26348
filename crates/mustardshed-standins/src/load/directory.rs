//! Entries that callers may use, fetched from the entries themselves.

use std::{sync, time};

use rand::RngExt;
use serde::Deserialize;

use crate::{json_client, load::plan};

/// Pause before the next fetch if no entry answered.
const RETRY: time::Duration = time::Duration::from_millis(500);
/// Timeout of one fetch.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Weight of an entry from the command line.
const GIVEN_WEIGHT: u32 = 1;

#[derive(Clone, Debug, Deserialize)]
struct Entry {
    url: String,
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct EntryList {
    entries: Vec<Entry>,
    ttl_ms: u64,
}

/// The entries in use, with their weights.
#[derive(Debug)]
pub(super) struct Directory {
    entries: sync::RwLock<Vec<Entry>>,
    given: Vec<String>,
    key: String,
    client: json_client::JsonClient,
}

impl Directory {
    /// Returns a directory of the entries that a plan names.
    pub(super) fn of_plan(plan: &plan::Plan) -> Self {
        let entry = |url: &String| Entry {
            url: url.clone(),
            weight: GIVEN_WEIGHT,
        };
        let key = plan.accounts.first().map(|account| account.key.clone());
        Self {
            entries: sync::RwLock::new(plan.entries.iter().map(entry).collect()),
            given: plan.entries.clone(),
            key: key.unwrap_or_default(),
            client: json_client::JsonClient::open(),
        }
    }

    /// Picks an entry at random by weight, and one already tried only if there is no other.
    pub(super) fn pick(&self, tried: &[String]) -> Option<String> {
        let entries = self
            .entries
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let untried = entries.iter().filter(|e| !tried.contains(&e.url));
        let mut usable: Vec<&Entry> = untried.collect();
        if usable.is_empty() {
            usable = entries.iter().collect();
        }
        let total: u32 = usable.iter().map(|e| e.weight).sum();
        let mut drawn = rand::rng().random_range(0..total.max(1));
        for entry in &usable {
            if drawn < entry.weight {
                return Some(entry.url.clone());
            }
            drawn -= entry.weight;
        }
        usable.first().map(|e| e.url.clone())
    }

    /// Fetches the list again whenever its time to live has passed.
    pub(super) async fn refresh(&self) {
        loop {
            let pause = self.fetch_any().await.unwrap_or(RETRY);
            tokio::time::sleep(pause).await;
        }
    }

    /// Queries an entry in use, then the given ones, until one answers; returns the time to live.
    async fn fetch_any(&self) -> Option<time::Duration> {
        let first = self.pick(&[]);
        for url in first.iter().chain(&self.given) {
            if let Some(list) = self.fetch(url).await {
                let mut entries = self
                    .entries
                    .write()
                    .unwrap_or_else(sync::PoisonError::into_inner);
                *entries = list.entries;
                return Some(time::Duration::from_millis(list.ttl_ms));
            }
        }
        None
    }

    async fn fetch(&self, url: &str) -> Option<EntryList> {
        let req = http::Request::get(format!("{url}/v1/entries"))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(json_client::Body::default());
        let answer = tokio::time::timeout(TIMEOUT, self.client.send(req));
        let answer = answer.await.ok()?.ok()?;
        let list: EntryList = serde_json::from_value(answer.body).ok()?;
        (!list.entries.is_empty()).then_some(list)
    }
}

//! The callers' list of entries, fetched from the entries themselves.

use std::{sync, time};

use rand::RngExt;

use crate::json_client;

/// Pause before the next fetch if no entry answered.
const RETRY: time::Duration = time::Duration::from_millis(300);
/// Timeout of one fetch.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

#[derive(Debug)]
struct Kept {
    urls: Vec<String>,
    since: time::Instant,
}

/// Entries that callers currently use.
#[derive(Debug)]
pub struct EntryList {
    kept: sync::RwLock<Kept>,
    first: Vec<String>,
    key: String,
    client: json_client::JsonClient,
}

/// The entry chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Base URL.
    pub url: String,
    /// Age of the list from which it was chosen.
    pub list_age: time::Duration,
}

impl EntryList {
    /// Creates a list of the initially known entries.
    pub fn new(first: Vec<String>, key: String) -> Self {
        let kept = Kept {
            urls: first.clone(),
            since: time::Instant::now(),
        };
        Self {
            kept: sync::RwLock::new(kept),
            first,
            key,
            client: json_client::JsonClient::open(),
        }
    }

    /// Chooses an entry; `avoided` is chosen only if there is no other.
    pub fn choose(&self, avoided: Option<&str>) -> Choice {
        let kept = self
            .kept
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let others: Vec<&String> = kept
            .urls
            .iter()
            .filter(|url| Some(url.as_str()) != avoided)
            .collect();
        let urls = if others.is_empty() {
            kept.urls.iter().collect()
        } else {
            others
        };
        let index = rand::rng().random_range(0..urls.len().max(1));
        Choice {
            url: urls
                .get(index)
                .map_or_else(String::new, |url| (*url).clone()),
            list_age: kept.since.elapsed(),
        }
    }

    /// Fetches the list again whenever its time to live has passed.
    pub async fn refresh(&self) {
        loop {
            let pause = self.ask_any().await.unwrap_or(RETRY);
            tokio::time::sleep(pause).await;
        }
    }

    async fn ask_any(&self) -> Option<time::Duration> {
        let chosen = self.choose(None).url;
        for url in std::iter::once(&chosen).chain(&self.first) {
            let since = time::Instant::now();
            if let Some((urls, ttl)) = self.ask(url).await {
                let mut kept = self
                    .kept
                    .write()
                    .unwrap_or_else(sync::PoisonError::into_inner);
                *kept = Kept { urls, since };
                return Some(ttl.saturating_sub(since.elapsed()));
            }
        }
        None
    }

    async fn ask(&self, url: &str) -> Option<(Vec<String>, time::Duration)> {
        let req = http::Request::get(format!("{url}/v1/entries"))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(json_client::Body::default());
        let answer = tokio::time::timeout(TIMEOUT, self.client.send(req)).await;
        let answer = answer.ok()?.ok()?;
        let entries = answer.body["entries"].as_array()?;
        let url_of = |entry: &serde_json::Value| entry["url"].as_str().map(str::to_owned);
        let urls: Vec<String> = entries.iter().filter_map(url_of).collect();
        let ttl = time::Duration::from_millis(answer.body["ttl_ms"].as_u64()?);
        (!urls.is_empty()).then_some((urls, ttl))
    }
}

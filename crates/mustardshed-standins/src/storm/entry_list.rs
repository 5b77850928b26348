//! The callers' list of entries, as the entries tell it.

use std::{sync, time};

use rand::RngExt;

use crate::json_client;

/// Pause after no entry answered.
const RETRY: time::Duration = time::Duration::from_millis(300);
/// Longest wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

#[derive(Debug)]
struct Kept {
    urls: Vec<String>,
    since: time::Instant,
}

/// Entries that callers use now.
#[derive(Debug)]
pub struct EntryList {
    kept: sync::RwLock<Kept>,
    first: Vec<String>,
    key: String,
    client: json_client::JsonClient,
}

/// An entry that was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Base URL.
    pub url: String,
    /// Age of the list that named it.
    pub list_age: time::Duration,
}

impl EntryList {
    /// Makes a list of the entries that are known at the start.
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

    /// Chooses an entry, other than `but` if there is another.
    pub fn choose(&self, but: Option<&str>) -> Choice {
        let kept = self
            .kept
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let others: Vec<&String> = kept
            .urls
            .iter()
            .filter(|url| Some(url.as_str()) != but)
            .collect();
        let urls = if others.is_empty() {
            kept.urls.iter().collect()
        } else {
            others
        };
        let drawn = rand::rng().random_range(0..urls.len().max(1));
        Choice {
            url: urls
                .get(drawn)
                .map_or_else(String::new, |url| (*url).clone()),
            list_age: kept.since.elapsed(),
        }
    }

    /// Asks again whenever the list's time to live is over.
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

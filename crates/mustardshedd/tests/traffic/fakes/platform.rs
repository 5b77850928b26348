//! A platform in memory that counts its calls by purpose and may respond late.

use std::{collections, sync, time};

use async_trait::async_trait;
use mustardshed::core::{boundary::platform, ids};

type Objects = collections::BTreeMap<String, (ids::ObjectVersion, Vec<u8>)>;

/// Claims in memory; there is no configuration and no VM.
#[derive(Debug, Default)]
pub struct FakePlatform {
    claims: sync::Mutex<Objects>,
    version: sync::atomic::AtomicU64,
    calls: sync::Mutex<collections::BTreeMap<&'static str, u64>>,
    delay: sync::Mutex<time::Duration>,
    after_list: sync::Mutex<Vec<String>>,
}

impl FakePlatform {
    /// Delays all responses from now on; calls still take effect at once.
    pub fn delay_responses(&self, delay: time::Duration) {
        *self.delay.lock().unwrap() = delay;
    }

    /// Writes an object right after the next list is read.
    pub fn write_after_list(&self, name: &str) {
        self.after_list.lock().unwrap().push(name.to_owned());
    }

    /// Stores a claim.
    pub fn store(&self, name: &str, value: Vec<u8>) {
        let version = self.next_version();
        let mut claims = self.claims.lock().unwrap();
        claims.insert(name.to_owned(), (version, value));
    }

    /// Returns the names of the claims.
    pub fn names(&self) -> Vec<String> {
        self.claims.lock().unwrap().keys().cloned().collect()
    }

    /// Returns the number of calls made for a purpose.
    pub fn calls(&self, purpose: platform::Purpose) -> u64 {
        let calls = self.calls.lock().unwrap();
        calls.get(purpose.as_str()).copied().unwrap_or_default()
    }

    fn next_version(&self) -> ids::ObjectVersion {
        self.version.fetch_add(1, sync::atomic::Ordering::SeqCst) + 1
    }

    fn count(&self, purpose: platform::Purpose) {
        *self
            .calls
            .lock()
            .unwrap()
            .entry(purpose.as_str())
            .or_default() += 1;
    }

    async fn delay_response(&self) {
        let delay = *self.delay.lock().unwrap();
        tokio::time::sleep(delay).await;
    }

    fn check(
        claims: &Objects,
        name: &str,
        expected: ids::ObjectVersion,
    ) -> Result<(), platform::PlatformError> {
        let present = claims.get(name).map_or(0, |(version, _)| *version);
        if present == expected {
            return Ok(());
        }
        Err(platform::PlatformError::Conflict(present))
    }
}

#[async_trait]
impl platform::Platform for FakePlatform {
    async fn get(
        &self,
        purpose: platform::Purpose,
        _kind: platform::ObjectKind,
        name: &str,
    ) -> Result<Option<platform::Object>, platform::PlatformError> {
        self.count(purpose);
        let found = self.claims.lock().unwrap().get(name).cloned();
        self.delay_response().await;
        Ok(found.map(|(version, value)| platform::Object {
            name: name.to_owned(),
            version,
            value,
        }))
    }

    async fn put(
        &self,
        purpose: platform::Purpose,
        kind: platform::ObjectKind,
        name: &str,
        expected: ids::ObjectVersion,
        value: Vec<u8>,
    ) -> Result<ids::ObjectVersion, platform::PlatformError> {
        self.count(purpose);
        if kind != platform::ObjectKind::Claim {
            return Err(platform::PlatformError::Refused("claims only".to_owned()));
        }
        let version = self.next_version();
        let written = {
            let mut claims = self.claims.lock().unwrap();
            Self::check(&claims, name, expected)
                .map(|()| claims.insert(name.to_owned(), (version, value)))
        };
        self.delay_response().await;
        written.map(|_| version)
    }

    async fn delete(
        &self,
        purpose: platform::Purpose,
        _kind: platform::ObjectKind,
        name: &str,
        expected: ids::ObjectVersion,
    ) -> Result<(), platform::PlatformError> {
        self.count(purpose);
        let deleted = {
            let mut claims = self.claims.lock().unwrap();
            Self::check(&claims, name, expected).map(|()| claims.remove(name))
        };
        self.delay_response().await;
        deleted.map(|_| ())
    }

    async fn list(
        &self,
        purpose: platform::Purpose,
        _kind: platform::ObjectKind,
        prefix: &str,
    ) -> Result<Vec<platform::Object>, platform::PlatformError> {
        self.count(purpose);
        let listed: Vec<platform::Object> = {
            let claims = self.claims.lock().unwrap();
            let named = claims.iter().filter(|(name, _)| name.starts_with(prefix));
            let object = |(name, (version, value)): (&String, &(u64, Vec<u8>))| platform::Object {
                name: name.clone(),
                version: *version,
                value: value.clone(),
            };
            named.map(object).collect()
        };
        for name in self.after_list.lock().unwrap().drain(..) {
            let version = self.next_version();
            let mut claims = self.claims.lock().unwrap();
            claims.entry(name).and_modify(|held| held.0 = version);
        }
        self.delay_response().await;
        Ok(listed)
    }

    async fn watch(
        &self,
        purpose: platform::Purpose,
        _kind: platform::ObjectKind,
        _name: &str,
        _since: ids::ObjectVersion,
        timeout: time::Duration,
    ) -> Result<Option<platform::Object>, platform::PlatformError> {
        self.count(purpose);
        tokio::time::sleep(timeout).await;
        Ok(None)
    }

    async fn vms(&self) -> Result<Vec<platform::Vm>, platform::PlatformError> {
        self.count(platform::Purpose::Members);
        Ok(Vec::new())
    }
}

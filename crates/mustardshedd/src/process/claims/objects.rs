//! Claim objects on the platform.

use std::sync;

use mustardshed::{
    core::{boundary::platform, ids, request::claim},
    wire,
};

/// Claim objects on the platform.
#[derive(Clone, Debug)]
pub(super) struct Objects {
    platform: sync::Arc<dyn platform::Platform>,
}

impl Objects {
    /// Gives access to the claim objects of a platform.
    pub(super) fn new(platform: sync::Arc<dyn platform::Platform>) -> Self {
        Self { platform }
    }

    /// Reads a claim; `None` if there is none.
    pub(super) async fn get(
        &self,
        name: &str,
    ) -> Result<Option<(ids::ObjectVersion, claim::Value)>, platform::PlatformError> {
        let object = self
            .platform
            .get(platform::Purpose::Claim, platform::ObjectKind::Claim, name)
            .await?;
        let Some(object) = object else {
            return Ok(None);
        };
        let value = wire::claim::decode(&object.value).map_err(refused)?;
        Ok(Some((object.version, value)))
    }

    /// Writes a claim if its version is `expected`; returns its new version.
    pub(super) async fn put(
        &self,
        name: &str,
        expected: ids::ObjectVersion,
        value: &claim::Value,
    ) -> Result<ids::ObjectVersion, platform::PlatformError> {
        let value = wire::claim::encode(value).map_err(refused)?;
        self.platform
            .put(
                platform::Purpose::Claim,
                platform::ObjectKind::Claim,
                name,
                expected,
                value,
            )
            .await
    }

    /// Deletes a claim if its version is `expected`.
    pub(super) async fn delete(
        &self,
        purpose: platform::Purpose,
        name: &str,
        expected: ids::ObjectVersion,
    ) -> Result<(), platform::PlatformError> {
        self.platform
            .delete(purpose, platform::ObjectKind::Claim, name, expected)
            .await
    }

    /// Lists the claims whose names start with `prefix`, without those that cannot be decoded.
    pub(super) async fn list(
        &self,
        prefix: &str,
    ) -> Result<Vec<(String, ids::ObjectVersion, claim::Value)>, platform::PlatformError> {
        let purpose = platform::Purpose::ClaimSweep;
        let kind = platform::ObjectKind::Claim;
        let objects = self.platform.list(purpose, kind, prefix).await?;
        let decode = |object: platform::Object| {
            let value = wire::claim::decode(&object.value).ok()?;
            Some((object.name, object.version, value))
        };
        Ok(objects.into_iter().filter_map(decode).collect())
    }
}

fn refused(e: wire::claim::ClaimError) -> platform::PlatformError {
    platform::PlatformError::Refused(e.to_string())
}

//! The configuration that the platform holds.

use mustardshed::{
    core::{boundary::platform, ids, version::record},
    wire::configuration,
};

use super::{CURRENT, ReadError};

/// The configuration as it was read from the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Current {
    /// Version of the platform object; zero if there is none.
    pub version: ids::ObjectVersion,
    /// The configuration record, if there is one.
    pub record: Option<record::Record>,
}

impl Current {
    /// Reads the configuration that the platform holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be read or the object is not a valid record.
    pub async fn read(platform: &dyn platform::Platform) -> Result<Self, ReadError> {
        let purpose = platform::Purpose::Configuration;
        let kind = platform::ObjectKind::Configuration;
        let Some(object) = platform.get(purpose, kind, CURRENT).await? else {
            return Ok(Self {
                version: 0,
                record: None,
            });
        };
        let record = configuration::decode(&object.value)
            .map_err(|err| ReadError::Invalid(err.to_string()))?;
        Ok(Self {
            version: object.version,
            record: Some(record),
        })
    }

    /// Returns the generation; zero if there is no record.
    pub fn generation(&self) -> ids::Generation {
        self.record.as_ref().map_or(0, |record| record.generation)
    }

    /// Returns whether the record has this nonce.
    pub fn has_nonce(&self, nonce: &str) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.nonce == nonce)
    }
}

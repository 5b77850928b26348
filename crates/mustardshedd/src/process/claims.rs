//! At-most-once claims on the platform.

use std::sync;

use mustardshed::core::{
    border::{control, platform},
    error, ids,
    request::fate,
};

/// Claims of non-idempotent calls.
#[derive(Clone, Debug)]
pub struct Claims {
    platform: sync::Arc<dyn platform::Platform>,
}

impl Claims {
    /// Makes the claims of an entry.
    pub fn new(parts: &super::control::Parts) -> Self {
        Self {
            platform: sync::Arc::clone(&parts.platform),
        }
    }

    /// Returns the name of the object that claims `key` for `account`.
    pub fn object_name(&self, account: &ids::ClientAccountId, key: &str) -> String {
        format!("{account}.{}", key.len())
    }

    /// Claims a non-idempotent call.
    ///
    /// # Errors
    ///
    /// Returns an error with the outcome `not_run` if the claim cannot be decided.
    pub async fn claim(&self, _req: control::ClaimRequest) -> Result<control::Claim, error::Error> {
        Err(error::Error::not_run(
            error::ErrorKind::PlatformUnavailable,
            format!("claims are not served: {:?}", self.platform),
        ))
    }

    /// Records the final fate of a claimed call.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not take it.
    pub async fn settle(
        &self,
        _req: control::ClaimRequest,
        _fate: fate::Fate,
    ) -> Result<(), error::Error> {
        Ok(())
    }

    /// Finds the fate of a request whose owner is gone.
    ///
    /// # Errors
    ///
    /// Returns an error with the outcome `unknown` if it cannot be told.
    pub async fn fate(&self, id: &ids::RequestId) -> Result<fate::Fate, error::Error> {
        Err(error::Error::unknown(
            error::ErrorKind::FateUnknown,
            format!("the entry that carried {id} is gone"),
        ))
    }
}

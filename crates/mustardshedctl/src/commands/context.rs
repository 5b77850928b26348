//! Clients and settings that the subcommands share.

use std::time;

use mustardshed::core::boundary::platform;

use crate::{entries, failure, wait};

/// Clients of the platform and the entries, and the settings from the command line.
#[derive(Debug)]
pub struct Context {
    /// The platform, if its URL was given.
    pub platform: Option<Box<dyn platform::Platform>>,
    /// The entries, if the operators' key was given.
    pub entries: Option<Box<dyn entries::Entries>>,
    /// Entries to query instead of those on the platform's list.
    pub addresses: Vec<String>,
    /// Author of the configurations that are written.
    pub author: String,
    /// Longest wait for confirmations.
    pub wait_timeout: time::Duration,
}

impl Context {
    /// Returns the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if its URL was not given.
    pub fn platform(&self) -> Result<&dyn platform::Platform, failure::Failure> {
        let missing = || failure::Failure::Usage("--platform is required".to_owned());
        self.platform.as_deref().ok_or_else(missing)
    }

    /// Returns the client of the entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the operators' key was not given.
    pub fn entries(&self) -> Result<&dyn entries::Entries, failure::Failure> {
        let missing = || failure::Failure::Usage("--operator-key-file is required".to_owned());
        self.entries.as_deref().ok_or_else(missing)
    }

    /// Returns the addresses of the entries to query.
    ///
    /// # Errors
    ///
    /// Returns an error if none was given and the platform's list cannot be read or has no live
    /// entry.
    pub async fn addresses(&self) -> Result<Vec<String>, failure::Failure> {
        if !self.addresses.is_empty() {
            return Ok(self.addresses.clone());
        }
        let addresses = wait::live_entries(&self.platform()?.vms().await?);
        if addresses.is_empty() {
            return Err(failure::Failure::NoLiveEntry);
        }
        Ok(addresses)
    }

    /// Calls one entry after another until one responds; a refusal counts as a response.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry responded, or the one that did refused.
    pub async fn call_any<'c, T, F>(
        &'c self,
        call: impl Fn(&'c dyn entries::Entries, String) -> F,
    ) -> Result<T, failure::Failure>
    where
        F: Future<Output = Result<T, entries::EntryError>>,
    {
        let entries = self.entries()?;
        let mut failure = failure::Failure::NoLiveEntry;
        for address in self.addresses().await? {
            match call(entries, address.clone()).await {
                Ok(value) => return Ok(value),
                Err(reason) if reason.is_refusal() => {
                    return Err(failure::Failure::Refused { address, reason });
                }
                Err(reason) => failure = failure::Failure::NoAnswer { address, reason },
            }
        }
        Err(failure)
    }
}

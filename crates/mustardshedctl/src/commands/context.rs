//! What every subcommand works with.

use std::time;

use mustardshed::core::boundary::platform;

use crate::{entries, failure, wait};

/// The borders and the settings of one run.
#[derive(Debug)]
pub struct Context {
    /// The platform, if its URL was given.
    pub platform: Option<Box<dyn platform::Platform>>,
    /// The entries, if the operators' key was given.
    pub entries: Option<Box<dyn entries::Entries>>,
    /// Entries to ask in place of those on the platform's list.
    pub addresses: Vec<String>,
    /// Name under which configurations are written.
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
        let missing = || failure::Failure::Usage("--platform is needed".to_owned());
        self.platform.as_deref().ok_or_else(missing)
    }

    /// Returns the entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the operators' key was not given.
    pub fn entries(&self) -> Result<&dyn entries::Entries, failure::Failure> {
        let missing = || failure::Failure::Usage("--operator-key-file is needed".to_owned());
        self.entries.as_deref().ok_or_else(missing)
    }

    /// Returns the addresses of the entries to ask.
    ///
    /// # Errors
    ///
    /// Returns an error if none was named and the platform's list cannot be read or names none.
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

    /// Asks one entry after another until one answers, be it with a refusal.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answered, or the one that did refused.
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
                Ok(answer) => return Ok(answer),
                Err(reason) if reason.is_refusal() => {
                    return Err(failure::Failure::Refused { address, reason });
                }
                Err(reason) => failure = failure::Failure::NoAnswer { address, reason },
            }
        }
        Err(failure)
    }
}

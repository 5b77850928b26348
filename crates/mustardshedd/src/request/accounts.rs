//! Limit of the running requests of each client account on this entry.

use std::sync::{self, atomic};

use mustardshed::{
    config::text,
    core::{error, process::snapshot, request::admission},
};

use crate::request::lazy_map;

/// Number of running requests of each client account on this entry.
#[derive(Debug, Default)]
pub struct Accounts {
    running: lazy_map::LazyMap<atomic::AtomicU32>,
}

impl Accounts {
    /// Counts a request of an account as running until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`error::ErrorKind::AccountLimit`] if the account's limit is reached already.
    pub fn enter(
        &self,
        snapshot: &snapshot::Snapshot,
        account: &text::ClientAccount,
    ) -> Result<Running, error::Error> {
        let count = self.running.get(&account.name);
        let before = count.fetch_add(1, atomic::Ordering::SeqCst);
        let running = Running { count };
        admission::check_account(snapshot, account, before)?;
        Ok(running)
    }
}

/// Guard of one running request of an account; dropping it decrements the count.
#[derive(Debug)]
pub struct Running {
    count: sync::Arc<atomic::AtomicU32>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.count.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

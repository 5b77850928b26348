//! The callers' records of their requests.

use std::sync;

use super::attempt;

/// Kind of a completion.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Sort {
    /// A short prompt with a short output.
    Short,
    /// A short prompt with a long output.
    Stream,
    /// A long prompt.
    Long,
    /// A prompt that exceeds one engine's memory.
    Gang,
}

/// A completion and its calls.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Kind of the completion.
    pub sort: Sort,
    /// Calls in their order; another follows only if no connection was made.
    pub attempts: Vec<attempt::Attempt>,
}

/// A charge and its calls.
#[derive(Clone, Debug)]
pub struct Charge {
    /// Digest of its body in hexadecimal digits.
    pub body_sha256: String,
    /// Calls until the fate was known, in their order.
    pub attempts: Vec<attempt::Attempt>,
    /// Calls with the same key after a complete response.
    pub repeats: Vec<attempt::Attempt>,
}

/// An entry's response to a query for a request's fate.
#[derive(Clone, Debug)]
pub struct Fate {
    /// The request's call, as its caller recorded it.
    pub attempt: attempt::Attempt,
    /// Base URL of the entry that was asked.
    pub asked: String,
    /// When it was asked, in Unix milliseconds.
    pub asked_ms: u64,
    /// HTTP status; zero if there was no response.
    pub status: u16,
    /// Outcome in the response; empty if it named none.
    pub outcome: String,
}

/// Records of all callers.
#[derive(Debug, Default)]
pub struct Notes {
    /// Completions.
    pub completions: sync::Mutex<Vec<Completion>>,
    /// Charges.
    pub charges: sync::Mutex<Vec<Charge>>,
    /// Fates that were queried.
    pub fates: sync::Mutex<Vec<Fate>>,
}

/// Appends a record.
pub fn add<T>(notes: &sync::Mutex<Vec<T>>, note: T) {
    lock(notes).push(note);
}

/// Returns all records of one type.
pub fn all<T: Clone>(notes: &sync::Mutex<Vec<T>>) -> Vec<T> {
    lock(notes).clone()
}

fn lock<T>(notes: &sync::Mutex<Vec<T>>) -> sync::MutexGuard<'_, Vec<T>> {
    notes.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

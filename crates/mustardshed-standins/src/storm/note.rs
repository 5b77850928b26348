//! What callers noted.

use std::sync;

use super::attempt;

/// Sort of a completion.
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

/// A completion and what became of it.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Sort.
    pub sort: Sort,
    /// Calls, in their order; only connections that were not made are followed by another.
    pub attempts: Vec<attempt::Attempt>,
}

/// A charge and what became of it.
#[derive(Clone, Debug)]
pub struct Charge {
    /// Digest of its body in hexadecimal digits.
    pub body_sha256: String,
    /// Calls until the fate was known, in their order.
    pub attempts: Vec<attempt::Attempt>,
    /// Calls with the same key after a whole answer.
    pub repeats: Vec<attempt::Attempt>,
}

/// What an entry said of a request's fate.
#[derive(Clone, Debug)]
pub struct Fate {
    /// The request, as its caller knows it.
    pub attempt: attempt::Attempt,
    /// Base URL of the entry that was asked.
    pub asked: String,
    /// When it was asked, in Unix milliseconds.
    pub asked_ms: u64,
    /// HTTP status; zero without an answer.
    pub status: u16,
    /// Outcome that was told; empty if none was.
    pub outcome: String,
}

/// Notes of all callers.
#[derive(Debug, Default)]
pub struct Notes {
    /// Completions.
    pub completions: sync::Mutex<Vec<Completion>>,
    /// Charges.
    pub charges: sync::Mutex<Vec<Charge>>,
    /// Fates that were asked for.
    pub fates: sync::Mutex<Vec<Fate>>,
}

/// Adds a note.
pub fn add<T>(notes: &sync::Mutex<Vec<T>>, note: T) {
    lock(notes).push(note);
}

/// Returns all notes of a sort.
pub fn all<T: Clone>(notes: &sync::Mutex<Vec<T>>) -> Vec<T> {
    lock(notes).clone()
}

fn lock<T>(notes: &sync::Mutex<Vec<T>>) -> sync::MutexGuard<'_, Vec<T>> {
    notes.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

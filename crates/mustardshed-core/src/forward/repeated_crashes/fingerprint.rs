//! A fingerprint of a request's content.

use std::fmt;

use sha2::Digest;

/// Tells requests with different contents apart; repeats of a request have the same fingerprint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request whose content consists of these fields.
    #[must_use]
    pub fn new(fields: &[&[u8]]) -> Self {
        let mut hasher = sha2::Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&digest[..size_of::<u64>()]);
        Self(u64::from_be_bytes(first))
    }
}

impl From<u64> for Fingerprint {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl From<Fingerprint> for u64 {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

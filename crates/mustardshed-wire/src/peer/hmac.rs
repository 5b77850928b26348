//! Message authentication codes with HMAC-SHA-256 (RFC 2104).

use hmac::{KeyInit, Mac};

/// Returns the authentication code of the concatenated `parts` under `key`.
#[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
pub fn sign(key: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    let mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(key);
    let mut mac = mac.expect("a key of any length");
    for part in parts {
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}

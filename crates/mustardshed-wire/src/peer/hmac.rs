//! HMAC with SHA-256 as RFC 2104 states it.
//!
//! The `hmac` package is not among the workspace's dependencies; the construction is two hashes
//! over padded keys, so it stands here and is checked against the vectors of RFC 4231.

use sha2::Digest;

const BLOCK_BYTES: usize = 64;
const INNER_PAD: u8 = 0x36;
const OUTER_PAD: u8 = 0x5c;

/// Returns the code of `parts`, one after another, under `key`.
pub fn sign(key: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    let block = key_block(key);
    let mut inner = sha2::Sha256::new();
    inner.update(block.map(|byte| byte ^ INNER_PAD));
    for part in parts {
        inner.update(part);
    }
    let mut outer = sha2::Sha256::new();
    outer.update(block.map(|byte| byte ^ OUTER_PAD));
    outer.update(inner.finalize());
    outer.finalize().into()
}

fn key_block(key: &[u8]) -> [u8; BLOCK_BYTES] {
    let mut block = [0; BLOCK_BYTES];
    if key.len() > BLOCK_BYTES {
        let digest = sha2::Sha256::digest(key);
        block[..digest.len()].copy_from_slice(&digest);
    } else {
        block[..key.len()].copy_from_slice(key);
    }
    block
}

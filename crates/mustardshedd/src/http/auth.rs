//! Authentication of client accounts and operators.

use http::header;
use mustardshed::{
    config::text,
    core::{error, process::snapshot},
};
use sha2::Digest;
use subtle::ConstantTimeEq;

use crate::http::operator;

/// Scheme of the `Authorization` header.
const SCHEME: &str = "bearer";

/// Finds the client account whose key a request carries.
///
/// Every configured digest is compared, each in constant time.
///
/// # Errors
///
/// Returns [`error::ErrorKind::Unauthenticated`] if the key is missing or unknown, and
/// [`error::ErrorKind::ConfigurationStale`] if there is no configuration yet to look the key up in.
pub fn client_account<'a>(
    snapshot: &'a snapshot::Snapshot,
    headers: &http::HeaderMap,
) -> Result<&'a text::ClientAccount, error::Error> {
    let key = bearer(headers)?;
    if snapshot.generation == 0 {
        return Err(error::Error::not_run(
            error::ErrorKind::ConfigurationStale,
            "this entry has no configuration yet",
        ));
    }
    let digest: [u8; 32] = sha2::Sha256::digest(key).into();
    let mut found = None;
    for account in snapshot.text.client_accounts.values() {
        for known in &account.key_digests {
            if bool::from(known.ct_eq(&digest)) {
                found = Some(account);
            }
        }
    }
    found.ok_or_else(|| unauthenticated("the key belongs to no client account"))
}

/// Checks that a request carries the operators' key.
///
/// # Errors
///
/// Returns [`error::ErrorKind::Unauthenticated`] if the key is missing, and
/// [`error::ErrorKind::Forbidden`] if it is not the operators' key.
pub fn operator(
    operator: &dyn operator::Operator,
    headers: &http::HeaderMap,
) -> Result<(), error::Error> {
    let key = bearer(headers)?;
    if operator.is_operator_key(key) {
        return Ok(());
    }
    Err(error::Error::not_run(
        error::ErrorKind::Forbidden,
        "the key is not the operators' key",
    ))
}

fn bearer(headers: &http::HeaderMap) -> Result<&[u8], error::Error> {
    let value = headers
        .get(header::AUTHORIZATION)
        .ok_or_else(|| unauthenticated("the Authorization header is missing"))?;
    let text = value
        .to_str()
        .map_err(|_| unauthenticated("the Authorization header is not ASCII text"))?;
    let (scheme, key) = text
        .split_once(' ')
        .ok_or_else(|| unauthenticated("the Authorization header has no key"))?;
    if !scheme.eq_ignore_ascii_case(SCHEME) || key.trim().is_empty() {
        return Err(unauthenticated(
            "the Authorization header has no bearer key",
        ));
    }
    Ok(key.trim().as_bytes())
}

fn unauthenticated(message: &str) -> error::Error {
    error::Error::not_run(error::ErrorKind::Unauthenticated, message)
}

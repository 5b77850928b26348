//! Request headers that this system defines.

use std::time;

use mustardshed::core::error;

/// Header with the time within which the request must end, in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// Header with the caller's key for at-most-once execution.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Reads the deadline of a request; `None` without the header.
///
/// # Errors
///
/// Returns [`error::ErrorKind::InvalidRequest`] if the header is not one positive integer.
pub fn deadline(headers: &http::HeaderMap) -> Result<Option<time::Duration>, error::Error> {
    let Some(value) = single(headers, DEADLINE)? else {
        return Ok(None);
    };
    let millis: u64 = value
        .parse()
        .map_err(|_| invalid("X-Deadline-Ms is not a whole number of milliseconds"))?;
    if millis == 0 {
        return Err(invalid("X-Deadline-Ms is zero"));
    }
    Ok(Some(time::Duration::from_millis(millis)))
}

/// Reads the idempotency key of a request; `None` without the header.
///
/// # Errors
///
/// Returns [`error::ErrorKind::InvalidRequest`] if the header is empty, too long, repeated, or not
/// visible ASCII.
pub fn idempotency_key(headers: &http::HeaderMap) -> Result<Option<String>, error::Error> {
    let Some(value) = single(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let is_graphic = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty() || value.len() > MAX_KEY_BYTES || !is_graphic {
        return Err(invalid(
            "Idempotency-Key is not 1 to 255 visible ASCII characters",
        ));
    }
    Ok(Some(value.to_owned()))
}

fn single<'a>(headers: &'a http::HeaderMap, name: &str) -> Result<Option<&'a str>, error::Error> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid(&format!("header {name} is given twice")));
    }
    let text = value
        .to_str()
        .map_err(|_| invalid(&format!("header {name} is not ASCII text")))?;
    Ok(Some(text.trim()))
}

fn invalid(message: &str) -> error::Error {
    error::Error::not_run(error::ErrorKind::InvalidRequest, message)
}

//! `request`: the fate of a request.

use crate::{
    commands,
    commands::{context, value},
    failure, output,
};

/// Longest identifier of a request, in bytes.
const MAX_ID_BYTES: usize = 512;

/// Asks any entry for the fate of a request.
///
/// # Errors
///
/// Returns an error if the identifier cannot be one, no entry answers, or the request is not known.
pub async fn run(cx: &context::Context, id: &str) -> commands::Result {
    check_id(id)?;
    let answer = cx
        .call_any(async |entries, address| entries.request(&address, id).await)
        .await?;
    let text = value::fields(&answer).join("\n");
    Ok(output::Output::done(text, answer))
}

fn check_id(id: &str) -> Result<(), failure::Failure> {
    let is_safe = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b'~');
    if (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(is_safe) {
        return Ok(());
    }
    let reason = "a request's identifier has only letters, digits and . _ - ~";
    Err(failure::Failure::Usage(reason.to_owned()))
}

//! `request`: shows the fate of a request.

use crate::{
    commands,
    commands::{context, value},
    failure, output,
};

/// Length of the longest request identifier, in bytes.
const MAX_ID_BYTES: usize = 512;

/// Queries any entry for the fate of a request.
///
/// # Errors
///
/// Returns an error if the identifier is not valid, no entry responds, or the request is not known.
pub async fn run(cx: &context::Context, id: &str) -> commands::Result {
    check_id(id)?;
    let response = cx
        .call_any(async |entries, address| entries.request(&address, id).await)
        .await?;
    let text = value::fields(&response).join("\n");
    Ok(output::Output::done(text, response))
}

fn check_id(id: &str) -> Result<(), failure::Failure> {
    let is_safe = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b'~');
    if (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(is_safe) {
        return Ok(());
    }
    let reason = "a request identifier has 1 to 512 letters, digits and . _ - ~";
    Err(failure::Failure::Usage(reason.to_owned()))
}

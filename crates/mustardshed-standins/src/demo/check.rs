//! Checks of the responses that a caller received.

use crate::{
    caller::{charge, completion, fate},
    oracle,
};

/// Checks that a completion is complete and belongs to its prompt.
///
/// # Errors
///
/// Returns what is wrong with it.
pub fn completion(
    prompt: &str,
    max_tokens: u64,
    completion: &completion::Completion,
) -> Result<(), String> {
    if completion.request_id.is_empty() {
        return Err("the answer names no request".to_owned());
    }
    if !completion.is_done || completion.finish_reason.is_none() {
        return Err("the stream did not end as it must".to_owned());
    }
    let expected = oracle::Oracle::of_text(prompt).text(0, max_tokens);
    if completion.text == expected {
        return Ok(());
    }
    Err(format!(
        "expected {expected:?}, received {:?}",
        completion.text
    ))
}

/// Checks that a request completed on `servers` backend servers.
///
/// # Errors
///
/// Returns what is wrong with its fate.
pub fn fate(fate: &fate::Fate, servers: usize) -> Result<(), String> {
    if fate.outcome == "completed" && fate.servers.len() == servers {
        return Ok(());
    }
    Err(format!(
        "expected completed on {servers} backend servers: {fate:?}"
    ))
}

/// Checks that two calls with one idempotency key got the same response and were executed once.
///
/// # Errors
///
/// Returns what is wrong.
pub fn charged_once(
    first: &charge::Charge,
    second: &charge::Charge,
    executions: &serde_json::Value,
) -> Result<(), String> {
    if first.answer != second.answer {
        return Err(format!(
            "two answers: {} and {}",
            first.answer, second.answer
        ));
    }
    match executions.as_array().map(Vec::len) {
        Some(1) => Ok(()),
        _ => Err(format!("expected one execution: {executions}")),
    }
}

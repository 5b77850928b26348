//! Tells whether a change of a load matters enough to routing to publish it at once.

use crate::{boundary::backend_server, ids, process::message};

/// Divisor of the KV memory: a change of a token figure by more than that part is significant.
const MEMORY_DIVISOR: u64 = 10;
/// Divisor of a number of requests: a change by more than that part plus one is significant.
const REQUESTS_DIVISOR: u32 = 8;

/// Returns whether the change from one published load to another is significant.
pub(super) fn is_significant(earlier: &message::FactBody, later: &message::FactBody) -> bool {
    let (
        message::FactBody::Load {
            report: earlier_report,
            credited_tokens: earlier_tokens,
            credits: earlier_credits,
            ..
        },
        message::FactBody::Load {
            report: later_report,
            credited_tokens,
            credits,
            ..
        },
    ) = (earlier, later)
    else {
        return true;
    };
    match (earlier_report, later_report) {
        (Some(earlier), Some(later)) => {
            server_changed(earlier, later)
                || load_changed(earlier, later)
                || tokens_changed(*earlier_tokens, *credited_tokens, later.memory_tokens)
                || requests_changed(*earlier_credits, *credits)
        }
        (None, None) => false,
        _ => true,
    }
}

/// Returns whether the server itself changed, for example by a restart or in its models.
fn server_changed(
    earlier: &backend_server::LoadReport,
    later: &backend_server::LoadReport,
) -> bool {
    earlier.epoch != later.epoch
        || earlier.warmth != later.warmth
        || earlier.leaving != later.leaving
        || earlier.memory_tokens != later.memory_tokens
        || earlier.models != later.models
}

fn load_changed(earlier: &backend_server::LoadReport, later: &backend_server::LoadReport) -> bool {
    let memory = later.memory_tokens;
    tokens_changed(earlier.used_tokens, later.used_tokens, memory)
        || tokens_changed(
            earlier.queued_prefill_tokens,
            later.queued_prefill_tokens,
            memory,
        )
        || requests_changed(earlier.running, later.running)
}

fn tokens_changed(earlier: ids::Tokens, later: ids::Tokens, memory: ids::Tokens) -> bool {
    earlier.abs_diff(later) > memory / MEMORY_DIVISOR
}

fn requests_changed(earlier: u32, later: u32) -> bool {
    earlier.abs_diff(later) > 1 + earlier.max(later) / REQUESTS_DIVISOR
}

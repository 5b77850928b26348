//! Claims of requests, and records of their fates.

use std::{sync, time};

use mustardshed::core::{boundary::control, error, outcome::Outcome, request::fate};

use crate::{
    log::{self, event},
    request::{cx, job},
};

/// Longest wait for the record of a claimed request's fate before its caller gets a response.
const SETTLE_WAIT: time::Duration = time::Duration::from_secs(1);

/// Acquires the claim of a request and logs who holds it; a request without a claim is granted.
///
/// The request is recorded as running first, so that a duplicate that finds the claim and queries
/// this entry is told so.
///
/// # Errors
///
/// Returns the control thread's refusal; nothing has run then.
pub async fn claim(cx: &cx::Cx, job: &job::Job) -> Result<control::Claim, error::Error> {
    let Some(claim) = job.claim.clone() else {
        return Ok(control::Claim::Granted);
    };
    cx.control
        .record(job.fate(Outcome::Running, None, &[], None));
    let claimed = cx.control.claim(claim).await?;
    let holder = match &claimed {
        control::Claim::Granted => &job.id,
        control::Claim::Duplicate(fate) => &fate.request,
    };
    log::emit(&event::Event::Claimed {
        request: &job.id,
        account: &job.account,
        granted: claimed == control::Claim::Granted,
        holder,
    });
    Ok(claimed)
}

/// Records that a duplicate did not run, since an earlier request with its key holds the claim.
pub fn record_duplicate(cx: &cx::Cx, job: &job::Job) {
    cx.control
        .record(job.fate(Outcome::NotRun, None, &[], None));
}

/// Records the final fate of a request and settles its claim if it has one.
///
/// A claimed request's caller gets its response after this returns, so that a duplicate sent right
/// after the response finds the fate. A settlement that takes longer than `SETTLE_WAIT`, or than
/// until the deadline, continues in its own task, for which a graceful shutdown waits.
pub async fn conclude(cx: &sync::Arc<cx::Cx>, job: &job::Job, fate: fate::Fate) {
    cx.control.record(fate.clone());
    let Some(claim) = job.claim.clone() else {
        return;
    };
    let left = job.deadline.saturating_sub(cx.clock.now());
    let settlement_cx = sync::Arc::clone(cx);
    let settlement = cx.settlements.spawn(async move {
        let request = claim.request.clone();
        if let Err(err) = settlement_cx.control.settle(claim, fate).await {
            log::emit(&event::Event::NotSettled {
                request: &request,
                reason: &err.to_string(),
            });
        }
    });
    drop(tokio::time::timeout(SETTLE_WAIT.min(left), settlement).await);
}

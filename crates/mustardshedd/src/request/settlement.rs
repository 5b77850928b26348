//! Claims of requests, and the records of their fates.

use std::{sync, time};

use mustardshed::core::{boundary::control, error, outcome::Outcome, request::fate};

use crate::{
    log::{self, event},
    request::{cx, job},
};

/// Wait for the record of a claimed request's fate before its caller is answered, at most.
const SETTLE_WAIT: time::Duration = time::Duration::from_secs(1);

/// Takes the claim of a request and logs who holds it; a request without a claim needs none.
///
/// The request is recorded as running first, so that a repeat which finds the claim, and asks this
/// entry, learns that.
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
    let answer = cx.control.claim(claim).await?;
    let holder = match &answer {
        control::Claim::Granted => &job.id,
        control::Claim::Duplicate(fate) => &fate.request,
    };
    log::emit(&event::Event::Claimed {
        request: &job.id,
        account: &job.account,
        granted: answer == control::Claim::Granted,
        holder,
    });
    Ok(answer)
}

/// Records that a repeat did not run, since an earlier request with its key holds the claim.
pub fn record_duplicate(cx: &cx::Cx, job: &job::Job) {
    cx.control
        .record(job.fate(Outcome::NotRun, None, &[], None));
}

/// Records the final fate of a request, and settles its claim if it has one.
///
/// The caller of a claimed request is answered when this returns, so that a repeat right after the
/// answer finds it; settling that takes longer, or beyond the deadline, goes on in a task of its
/// own, for which a planned stop waits.
pub async fn conclude(cx: &sync::Arc<cx::Cx>, job: &job::Job, fate: fate::Fate) {
    cx.control.record(fate.clone());
    let Some(claim) = job.claim.clone() else {
        return;
    };
    let left = job.deadline.saturating_sub(cx.clock.now());
    let settling_cx = sync::Arc::clone(cx);
    let settling = cx.settlements.spawn(async move {
        let request = claim.request.clone();
        if let Err(err) = settling_cx.control.settle(claim, fate).await {
            log::emit(&event::Event::NotSettled {
                request: &request,
                reason: &err.to_string(),
            });
        }
    });
    drop(tokio::time::timeout(SETTLE_WAIT.min(left), settling).await);
}

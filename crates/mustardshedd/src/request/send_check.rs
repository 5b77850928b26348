//! Last check before work is sent.

use mustardshed::core::{error, ids, mutation, process::snapshot, request::admission};

use crate::request::{cx, failure, placement};

/// Checks, with the clock and the newest snapshot, that work may still be sent.
///
/// A process that was suspended between routing and sending detects here that its credits, its
/// configuration or the request's deadline are out of date.
///
/// # Errors
///
/// Returns why the work must not be sent; nothing has run then.
pub fn check(
    cx: &cx::Cx,
    placement: &placement::Placement,
    deadline: ids::Timestamp,
) -> Result<(), failure::Failure> {
    if mutation::on("send_unchecked") {
        return Ok(());
    }
    let snapshot = cx.control.snapshot();
    let now = cx.clock.now();
    if now >= deadline {
        return Err(failure::Failure::stop(error::Error::not_run(
            error::ErrorKind::DeadlineExceeded,
            "the deadline passed before the request could be sent",
        )));
    }
    admission::check_fresh(&snapshot, now).map_err(failure::Failure::stop)?;
    for held in placement.credits() {
        let Some(credit) = held.credit() else {
            continue;
        };
        if now >= credit.use_by && !held.is_used() {
            return Err(out_of_date(
                "the credit expired before the work could be sent",
            ));
        }
        check_server(&snapshot, &credit.server, credit.epoch)?;
    }
    Ok(())
}

/// Checks that a server still accepts work under a credit of this epoch.
fn check_server(
    snapshot: &snapshot::Snapshot,
    id: &str,
    epoch: ids::Epoch,
) -> Result<(), failure::Failure> {
    let Some(server) = snapshot.servers.get(id) else {
        return Err(out_of_date("the backend server is no longer known"));
    };
    if server.leaving || snapshot.data_centres_out.contains(&server.data_centre) {
        return Err(out_of_date(
            "the backend server or its data centre no longer accepts new work",
        ));
    }
    if server.epoch > epoch {
        return Err(out_of_date(
            "the backend server turned cold after the credit was granted",
        ));
    }
    Ok(())
}

fn out_of_date(reason: &str) -> failure::Failure {
    failure::Failure::not_sent(error::Error::not_run(
        error::ErrorKind::NoBackendServer,
        reason,
    ))
}

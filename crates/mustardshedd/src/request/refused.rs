//! Request that was refused before anything ran.

use mustardshed::core::{error, ids, outcome::Outcome};

use crate::{
    log::{self, event},
    request::{cx, job},
};

/// Request that was refused before anything ran.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Identifier of the request, if it was assigned one.
    pub id: Option<ids::RequestId>,
    /// Reason for the refusal.
    pub error: error::Error,
}

impl Refused {
    /// Refuses a request that has an identifier: counts it, records its fate and logs it.
    pub fn new(cx: &cx::Cx, job: &job::Job, err: error::Error) -> Self {
        cx.metrics.count("request.refused");
        cx.control
            .record(job.fate(Outcome::NotRun, Some(err.kind), &[], None));
        log::emit(&event::Event::Refused {
            request: &job.id,
            account: &job.account,
            code: err.kind.to_response().code,
            reason: &err.message,
        });
        Self {
            id: Some(job.id.clone()),
            error: err,
        }
    }
}

impl From<error::Error> for Refused {
    fn from(error: error::Error) -> Self {
        Self { id: None, error }
    }
}

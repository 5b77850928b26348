//! A request that was refused before anything ran.

use mustardshed::core::{error, ids, outcome::Outcome};

use crate::{
    log::{self, event},
    request::{cx, job},
};

/// A request that was refused before anything ran.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Identifier, if it has one already.
    pub id: Option<ids::RequestId>,
    /// Why.
    pub error: error::Error,
}

impl Refused {
    /// Refuses a request that has an identifier; its fate is recorded.
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

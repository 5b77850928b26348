//! A call of a plain service and the driver that carries it.

pub mod attempt;
pub mod driver;
pub mod repeatability;

use std::sync;

use mustardshed::core::{boundary::backend_server, error, request::fate};
use tokio::sync::oneshot;

use crate::request::{completion, cx, job};

/// An admitted call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// What stays the same over all attempts.
    pub job: job::Job,
    /// Call as it goes to the service.
    pub call: backend_server::ServiceCall,
    /// Whether it may be sent again after it may have run.
    pub is_repeatable: bool,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// The service answered.
    Answered(fate::StoredResponse),
    /// The service said that it did not take a call that may not be repeated; that proves nothing.
    Declined(fate::StoredResponse),
    /// An earlier request with the same key holds or held the claim.
    Duplicate(Box<fate::Fate>),
    /// The call ended with an error.
    Failed(error::Error),
}

/// Starts the driver of a call and returns its end.
///
/// Dropping the receiver ends a call that may be repeated; any other goes on, so that its fate
/// becomes known.
pub fn spawn(
    cx: &sync::Arc<cx::Cx>,
    call: Call,
    guards: completion::Guards,
) -> oneshot::Receiver<Ended> {
    let (tx, rx) = oneshot::channel();
    let driver = driver::Driver::new(sync::Arc::clone(cx), call);
    tokio::spawn(async move {
        driver.run(tx).await;
        drop(guards);
    });
    rx
}

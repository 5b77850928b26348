//! Call of a plain service and the driver that runs it.

pub mod attempt;
pub mod driver;
pub mod repeatability;

use std::sync;

use mustardshed::core::{boundary::backend_server, error, request::fate};
use tokio::sync::oneshot;

use crate::request::{completion, cx, job};

/// Admitted call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Properties that are the same for all attempts.
    pub job: job::Job,
    /// Call as it is sent to the service.
    pub call: backend_server::ServiceCall,
    /// Whether the call may be sent again if it may have run already.
    pub is_repeatable: bool,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// The service responded.
    Answered(fate::StoredResponse),
    /// The service responded that it did not accept a call that must not be repeated, which does
    /// not prove that nothing ran.
    Declined(fate::StoredResponse),
    /// An earlier request with the same key holds or held the claim.
    Duplicate(Box<fate::Fate>),
    /// The call failed.
    Failed(error::Error),
}

/// Spawns the driver of a call and returns the receiver of its result.
///
/// Dropping the receiver does not end the call: the driver runs on, so that its fate becomes known.
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

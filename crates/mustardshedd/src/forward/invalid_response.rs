//! Invalid responses to this entry's own requests to servers: reports and orders.

use crate::{
    forward::{cx, upstream},
    log::{self, event},
};

/// Records a failure of the server if its response is invalid.
pub fn record(cx: &cx::Cx, server: &str, source: &str, e: &upstream::SendError) {
    let upstream::SendError::Invalid(invalid) = e else {
        return;
    };
    let now = cx.now();
    cx.state().loads.health_mut(server).record_failure(now);
    cx.metrics.invalid_response(source, *invalid);
    log::emit(&event::Event::OwnResponseInvalid {
        server,
        source,
        problem: &invalid.to_string(),
    });
}

//! `GET /v1/entries`: which addresses callers are to use.

use mustardshed::core::process::{drain, snapshot};
use warp::reply::Response;

use crate::http::{auth, cx, message, reply};

/// Weight of an entry.
const WEIGHT: u32 = 100;

/// Answers `GET /v1/entries`.
pub fn handle(cx: &cx::Cx, headers: &http::HeaderMap) -> Response {
    let snapshot = cx.requests.control.snapshot();
    if let Err(err) = auth::client_account(&snapshot, headers) {
        return reply::error(&err);
    }
    let list = message::EntryList {
        entries: snapshot.entries_for_callers().map(body).collect(),
        ttl_ms: reply::millis(drain::LIST_TTL),
    };
    reply::json(http::StatusCode::OK, &list)
}

fn body(member: &snapshot::MemberView) -> message::EntryBody {
    message::EntryBody {
        url: format!("http://{}", member.address),
        weight: WEIGHT,
        data_centre: member.data_centre.clone(),
    }
}

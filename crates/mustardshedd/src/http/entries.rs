//! `GET /v1/entries`: which addresses callers are to use.

use std::time;

use mustardshed::core::process::snapshot;
use warp::reply::Response;

use crate::http::{auth, cx, message, reply};

/// Time for which callers may keep the answer.
pub const TIME_TO_LIVE: time::Duration = time::Duration::from_secs(10);
/// Weight of an entry.
const WEIGHT: u32 = 100;

/// Answers `GET /v1/entries`.
pub fn handle(cx: &cx::Cx, headers: &http::HeaderMap) -> Response {
    let snapshot = cx.requests.control.snapshot();
    if let Err(err) = auth::client_account(&snapshot, headers) {
        return reply::error(&err);
    }
    let list = message::EntryList {
        entries: usable(&snapshot).map(body).collect(),
        ttl_ms: reply::millis(TIME_TO_LIVE),
    };
    reply::json(http::StatusCode::OK, &list)
}

/// Returns live entries that do not leave; those in data centres out of service only if there are
/// no others.
fn usable(snapshot: &snapshot::Snapshot) -> impl Iterator<Item = &snapshot::MemberView> {
    let is_out =
        |member: &snapshot::MemberView| snapshot.data_centres_out.contains(&member.data_centre);
    let is_live = |member: &&snapshot::MemberView| member.live && !member.leaving;
    let live: Vec<_> = snapshot.members.values().filter(is_live).collect();
    let has_others = live.iter().any(|member| !is_out(member));
    live.into_iter()
        .filter(move |member| !has_others || !is_out(member))
}

fn body(member: &snapshot::MemberView) -> message::EntryBody {
    message::EntryBody {
        url: format!("http://{}", member.address),
        weight: WEIGHT,
        data_centre: member.data_centre.clone(),
    }
}

//! `GET /v1/entries`: the entries that callers should use, with weights.

use mustardshed::core::{
    ids,
    process::{drain, entry_weights, snapshot},
};
use warp::reply::Response;

use crate::{
    http::{auth, cx, message, reply},
    log::{self, event},
};

/// Query of `GET /v1/entries`.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq)]
pub struct Query {
    /// Data centre that the caller is in or closest to.
    data_centre: Option<ids::DataCentreId>,
}

/// Answers `GET /v1/entries`.
pub fn handle(cx: &cx::Cx, headers: &http::HeaderMap, query: &Query) -> Response {
    let snapshot = cx.requests.control.snapshot();
    let account = match auth::client_account(&snapshot, headers) {
        Ok(account) => account,
        Err(err) => return reply::error(&err),
    };
    let origin = query.data_centre.as_deref();
    let weighed = entry_weights::weigh(&snapshot, origin);
    log_list(&snapshot, &account.name, origin, &weighed);
    let list = message::EntryList {
        entries: weighed.iter().map(body).collect(),
        ttl_ms: reply::millis(drain::LIST_TTL),
    };
    reply::json(http::StatusCode::OK, &list)
}

fn body(entry: &entry_weights::Weighted<'_>) -> message::EntryBody {
    message::EntryBody {
        url: format!("http://{}", entry.member.address),
        weight: entry.weight,
        data_centre: entry.member.data_centre.clone(),
    }
}

fn log_list(
    snapshot: &snapshot::Snapshot,
    account: &str,
    origin: Option<&str>,
    weighed: &[entry_weights::Weighted<'_>],
) {
    let heaviest = weighed.iter().max_by_key(|entry| entry.weight);
    let lightest = weighed.iter().min_by_key(|entry| entry.weight);
    log::emit(&event::Event::EntriesTold {
        account,
        data_centre: entry_weights::origin_or_own(snapshot, origin),
        entries: weighed.len(),
        left_out: snapshot.members.len() - weighed.len(),
        heaviest: &described(heaviest),
        lightest: &described(lightest),
    });
}

/// Returns an entry and its weight as `VM:WEIGHT`.
fn described(entry: Option<&entry_weights::Weighted<'_>>) -> String {
    entry.map_or_else(
        || "none".to_owned(),
        |entry| format!("{}:{}", entry.member.vm, entry.weight),
    )
}

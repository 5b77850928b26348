//! Paths of the object API.

use std::time;

use bytes::Bytes;
use hyper::header;
use mustardshed::platform::objects::wire;
use serde::Deserialize;
use warp::{Filter, filters, reply};

use crate::{
    http,
    platform::{MAX_VALUE_BYTES, call, item, name, routes, state, store, vm, watch},
};

/// Kind of the objects that list the VMs; writable only under `/admin`.
const VMS: &str = "vms";
/// Largest number of items in a page.
const PAGE_ITEMS: usize = 500;
/// Room for the fields of a written object's body besides the value, in bytes.
const ENVELOPE_BYTES: u64 = 16 * 1_024;
/// Longest encoded value, in bytes: one that isn't JSON is an object with two hex digits per byte.
const MAX_ENCODED_BYTES: usize = 2 * MAX_VALUE_BYTES + 64;

#[derive(Debug, Deserialize)]
struct KindQuery {
    after: Option<String>,
    watch: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct RevisionQuery {
    revision: Option<u64>,
}

/// Returns the paths outside `/admin`.
pub(super) fn all(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    get(state)
        .or(create(state))
        .unify()
        .or(replace(state))
        .unify()
        .or(delete(state))
        .unify()
        .or(of_kind(state))
        .unify()
        .map(with_era(state))
        .boxed()
}

/// Returns a function that adds the number of restorations to a response.
fn with_era(state: &routes::Shared) -> impl Fn(reply::Response) -> reply::Response + Clone + use<> {
    let state = state.clone();
    move |mut res| {
        let era = header::HeaderValue::from(state.era());
        res.headers_mut().insert(wire::ERA, era);
        res
    }
}

/// Matches the path of an object and extracts its kind and name.
fn of_object() -> filters::BoxedFilter<(String, String)> {
    warp::path("api")
        .and(warp::path("objects"))
        .and(warp::path::param::<String>())
        .and(warp::path::param::<name::PathName>().map(|name: name::PathName| name.0))
        .and(warp::path::end())
        .boxed()
}

fn get(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    of_object()
        .and(warp::get())
        .and(warp::header::headers_cloned())
        .then(move |kind: String, name: String, headers| {
            let state = state.clone();
            let call = call::Call::new(call::CallKind::Get, &headers);
            async move {
                slowed(&state, &call, || match check_names(&kind, &name) {
                    Ok(()) => shown(&name, state.get(&kind, &name)),
                    Err(reason) => http::refusal(400, reason),
                })
                .await
            }
        })
        .boxed()
}

fn create(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("api" / "objects" / String)
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(body())
        .then(move |kind: String, headers, body: Bytes| {
            let state = state.clone();
            let call = call::Call::new(call::CallKind::Put, &headers);
            http::detached(async move {
                let write = Write {
                    kind,
                    name: None,
                    revision: None,
                };
                slowed(&state, &call, || write.carry_out(&state, &call, &body)).await
            })
        })
        .boxed()
}

fn replace(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    of_object()
        .and(warp::put())
        .and(warp::query::<RevisionQuery>())
        .and(warp::header::headers_cloned())
        .and(body())
        .then(
            move |kind: String, name, query: RevisionQuery, headers, body: Bytes| {
                let state = state.clone();
                let call = call::Call::new(call::CallKind::Put, &headers);
                http::detached(async move {
                    let write = Write {
                        kind,
                        name: Some(name),
                        revision: query.revision,
                    };
                    slowed(&state, &call, || write.carry_out(&state, &call, &body)).await
                })
            },
        )
        .boxed()
}

fn body() -> filters::BoxedFilter<(Bytes,)> {
    let limit = MAX_ENCODED_BYTES as u64 + ENVELOPE_BYTES;
    warp::body::content_length_limit(limit)
        .and(warp::body::bytes())
        .boxed()
}

/// A write whose body has been received.
struct Write {
    kind: String,
    /// Name in the path; for a creation, the name is only in the body.
    name: Option<String>,
    /// Expected revision from the query.
    revision: Option<u64>,
}

impl Write {
    fn carry_out(&self, state: &state::State, call: &call::Call, body: &[u8]) -> reply::Response {
        let written = match item::written(body) {
            Ok(written) => written,
            Err(reason) => return http::refusal(400, reason),
        };
        let name = self.name.as_deref().unwrap_or(&written.metadata.name);
        if let Err(reason) = check_names(&self.kind, name) {
            return http::refusal(400, reason);
        }
        if self.kind == VMS {
            return http::refusal(403, "the list of VMs is writable only under /admin");
        }
        if written.spec.get().len() > MAX_ENCODED_BYTES {
            return http::refusal(413, "the value is too large");
        }
        let expected = match (&self.name, self.revision.or(written.metadata.revision)) {
            (None, _) => store::Expected::Missing,
            (Some(_), None) => store::Expected::Present,
            (Some(_), Some(revision)) => store::Expected::At(revision),
        };
        let value = Bytes::from(written.spec.get().to_owned());
        match state.put(&call.caller, &self.kind, name, expected, value.clone()) {
            Ok(written) if written.answer_lost => http::cut(),
            Ok(written) => http::json(200, &item::shown(name, written.version, Some(&value))),
            Err(e) => refused(state, &self.kind, name, e),
        }
    }
}

fn delete(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    of_object()
        .and(warp::delete())
        .and(warp::query::<RevisionQuery>())
        .and(warp::header::headers_cloned())
        .then(
            move |kind: String, name: String, query: RevisionQuery, headers| {
                let state = state.clone();
                let call = call::Call::new(call::CallKind::Delete, &headers);
                http::detached(async move {
                    slowed(&state, &call, || match check_names(&kind, &name) {
                        Ok(()) => deleted(&state, &call, &kind, &name, query.revision),
                        Err(reason) => http::refusal(400, reason),
                    })
                    .await
                })
            },
        )
        .boxed()
}

fn deleted(
    state: &state::State,
    call: &call::Call,
    kind: &str,
    name: &str,
    revision: Option<u64>,
) -> reply::Response {
    let expected = revision.map_or(store::Expected::Present, store::Expected::At);
    match state.delete(&call.caller, kind, name, expected) {
        Ok(written) if written.answer_lost => http::cut(),
        Ok(written) => http::json(200, &item::shown(name, written.version, None)),
        Err(e) => refused(state, kind, name, e),
    }
}

/// Lists the objects of a kind, or watches for changes.
fn of_kind(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("api" / "objects" / String)
        .and(warp::get())
        .and(warp::query::<KindQuery>())
        .and(warp::header::headers_cloned())
        .then(move |kind: String, query: KindQuery, headers| {
            let state = state.clone();
            let call_kind = match query.watch {
                Some(_) => call::CallKind::Watch,
                None if kind == VMS => call::CallKind::Vms,
                None => call::CallKind::List,
            };
            let call = call::Call::new(call_kind, &headers);
            async move {
                if let Some(since) = query.watch {
                    let wait = time::Duration::from_millis(query.wait_ms);
                    return watched(&state, call, kind, since, wait).await;
                }
                slowed(&state, &call, || match name::check(&kind) {
                    Ok(()) if kind == VMS => vms(&state.vms()),
                    Ok(()) => listed(&state, &state.list(&kind), query.after.as_deref()),
                    Err(reason) => http::refusal(400, reason),
                })
                .await
            }
        })
        .boxed()
}

async fn watched(
    state: &state::State,
    call: call::Call,
    kind: String,
    since: u64,
    wait: time::Duration,
) -> reply::Response {
    let Some(delay) = state.begin(&call) else {
        return routes::unavailable();
    };
    if let Err(reason) = name::check(&kind) {
        return http::refusal(400, reason);
    }
    tokio::time::sleep(delay * 2).await;
    let watch = watch::Watch {
        caller: call.caller,
        kind,
        since,
    };
    match watch.wait(state, wait).await {
        watch::Outcome::Changes(changes) => {
            let events = changes.changed.iter().map(|change| wire::Event {
                removed: change.value.is_none(),
                object: item::shown(
                    state.shown_name(&change.name),
                    change.version,
                    change.value.as_ref(),
                ),
            });
            let answer = wire::Events {
                events: events.collect(),
                revision: changes.version,
            };
            http::json(200, &answer)
        }
        watch::Outcome::HistoryGone => http::refusal(410, "these changes are no longer kept"),
        watch::Outcome::Refused => routes::unavailable(),
    }
}

/// Counts a call and refuses it, or applies it half-way through its delay.
async fn slowed(
    state: &state::State,
    call: &call::Call,
    effect: impl FnOnce() -> reply::Response,
) -> reply::Response {
    let Some(delay) = state.begin(call) else {
        return routes::unavailable();
    };
    tokio::time::sleep(delay).await;
    let res = effect();
    tokio::time::sleep(delay).await;
    res
}

fn check_names(kind: &str, name: &str) -> Result<(), String> {
    name::check(kind)?;
    name::check_object(name)
}

fn shown(name: &str, state: Option<crate::platform::object::State>) -> reply::Response {
    match state.and_then(|state| Some((state.version, state.value?))) {
        Some((version, value)) => http::json(200, &item::shown(name, version, Some(&value))),
        None => missing(),
    }
}

fn listed(state: &state::State, shown: &state::Listed, after: Option<&str>) -> reply::Response {
    let rest = shown.objects.iter();
    let rest = rest.skip_while(|object| after.is_some_and(|after| object.name.as_str() <= after));
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut has_more = false;
    for object in rest {
        if items.len() == PAGE_ITEMS || bytes > MAX_VALUE_BYTES {
            has_more = true;
            break;
        }
        bytes += object.value.len();
        items.push(item::shown(
            state.shown_name(&object.name),
            object.version,
            Some(&object.value),
        ));
    }
    page(items, has_more, shown.version)
}

fn vms(vms: &[vm::Vm]) -> reply::Response {
    let items = vms.iter().map(|vm| {
        let value = serde_json::json!(vm).to_string();
        item::shown(&vm.id, 0, Some(&Bytes::from(value)))
    });
    page(items.collect(), false, 0)
}

fn page(items: Vec<wire::Item>, has_more: bool, revision: u64) -> reply::Response {
    let page = wire::Page {
        items,
        has_more,
        revision,
    };
    http::json(200, &page)
}

fn refused(state: &state::State, kind: &str, name: &str, e: store::WriteError) -> reply::Response {
    match e {
        store::WriteError::Conflict(_) => {
            let present = state.present(kind, name);
            let version = present.as_ref().map_or(0, |present| present.version);
            let value = present.and_then(|present| present.value);
            http::json(409, &item::shown(name, version, value.as_ref()))
        }
        store::WriteError::Missing => missing(),
        store::WriteError::Full => http::refusal(507, e.to_string()),
    }
}

fn missing() -> reply::Response {
    http::refusal(404, "no such object")
}

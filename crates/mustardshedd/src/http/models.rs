//! `GET /v1/models`: models, and services backed by models.

use std::collections;

use mustardshed::{config::text, core::error};
use warp::reply::Response;

use crate::{
    http::{auth, cx, message, reply},
    request::resolve,
};

/// Answers `GET /v1/models` with the names that the account may use.
pub fn list(cx: &cx::Cx, headers: &http::HeaderMap) -> Response {
    let snapshot = cx.requests.control.snapshot();
    match auth::client_account(&snapshot, headers) {
        Ok(account) => reply::json(
            http::StatusCode::OK,
            &message::ModelList {
                object: "list",
                data: names(&snapshot.text, account).map(body).collect(),
            },
        ),
        Err(err) => reply::error(&err),
    }
}

/// Answers `GET /v1/models/{id}`.
pub fn one(cx: &cx::Cx, headers: &http::HeaderMap, name: &str) -> Response {
    let snapshot = cx.requests.control.snapshot();
    let found = auth::client_account(&snapshot, headers).and_then(|account| {
        names(&snapshot.text, account)
            .find(|known| *known == name)
            .ok_or_else(|| {
                error::Error::not_run(error::ErrorKind::UnknownModel, "no model has this name")
            })
    });
    match found {
        Ok(name) => reply::json(http::StatusCode::OK, &body(name)),
        Err(err) => reply::error(&err),
    }
}

fn names<'a>(text: &'a text::Text, account: &text::ClientAccount) -> impl Iterator<Item = &'a str> {
    let services = text.services.values().filter_map(|s| match s.backing {
        text::Backing::Model { .. } => Some(s.name.as_str()),
        text::Backing::Plain { .. } => None,
    });
    let models = text.models.keys().map(String::as_str);
    let all: collections::BTreeSet<&'a str> = services.chain(models).collect();
    let allowed: Vec<_> = all
        .into_iter()
        .filter(|name| resolve::model(text, account, name).is_ok())
        .collect();
    allowed.into_iter()
}

fn body(name: &str) -> message::ModelBody {
    message::ModelBody {
        id: name.to_owned(),
        object: "model",
        created: 0,
        owned_by: "mustardshed",
    }
}

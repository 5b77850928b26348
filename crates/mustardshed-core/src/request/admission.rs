//! Admission control: a request that cannot be served in time is refused before any of it runs.

use std::{collections, time};

use mustardshed_config::text;

use crate::{
    error, ids,
    process::snapshot,
    request::route::{self, work},
};

/// Retry delay for callers whose account is over its limit.
const ACCOUNT_RETRY: time::Duration = time::Duration::from_millis(500);
/// Minimum retry delay for callers whose request would miss its deadline.
const MIN_RETRY: time::Duration = time::Duration::from_millis(100);

/// Checks that the configuration is confirmed recently enough to place new work.
///
/// # Errors
///
/// Returns [`error::ErrorKind::ConfigurationStale`] if it is not.
pub fn check_fresh(snapshot: &snapshot::Snapshot, now: ids::Timestamp) -> Result<(), error::Error> {
    if snapshot.generation > 0 && now < snapshot.may_place_until {
        return Ok(());
    }
    Err(error::Error::not_run(
        error::ErrorKind::ConfigurationStale,
        "this entry cannot confirm that its configuration is the newest",
    ))
}

/// Checks that an account may use a service.
///
/// # Errors
///
/// Returns [`error::ErrorKind::Forbidden`] if it may not.
pub fn check_permission(account: &text::ClientAccount, service: &str) -> Result<(), error::Error> {
    if account.services.is_empty() || account.services.iter().any(|name| name == service) {
        return Ok(());
    }
    Err(error::Error::not_run(
        error::ErrorKind::Forbidden,
        format!("this client account may not use service {service}"),
    ))
}

/// Returns how many requests of an account may run on this entry at once.
///
/// The account's limit is for the whole fleet; each live entry has an equal share, rounded up.
pub fn account_share(snapshot: &snapshot::Snapshot, account: &text::ClientAccount) -> u32 {
    let live = snapshot.members.values().filter(|m| m.live && !m.leaving);
    let entries = u32::try_from(live.count()).unwrap_or(u32::MAX).max(1);
    account.max_running.div_ceil(entries)
}

/// Checks an account's running requests on this entry against the entry's share of its limit.
///
/// # Errors
///
/// Returns [`error::ErrorKind::AccountLimit`] if one more request would exceed the share.
pub fn check_account(
    snapshot: &snapshot::Snapshot,
    account: &text::ClientAccount,
    running: u32,
) -> Result<(), error::Error> {
    let share = account_share(snapshot, account);
    if running < share {
        return Ok(());
    }
    Err(error::Error::not_run(
        error::ErrorKind::AccountLimit,
        format!(
            "{running} requests of this client account run on this entry; its limit is {share}"
        ),
    )
    .retry_after(ACCOUNT_RETRY))
}

/// Checks that an estimated time to first token fits into the time left until the deadline.
///
/// # Errors
///
/// Returns [`error::ErrorKind::Overloaded`] if it does not, with the delay after which it would,
/// or without one if the prefill and the round trip alone take longer than the time left.
pub fn check_deadline(
    estimate: &route::estimate::Estimate,
    now: ids::Timestamp,
    deadline: ids::Timestamp,
) -> Result<(), error::Error> {
    let left = deadline.saturating_sub(now);
    let total = estimate.total();
    if total <= left {
        return Ok(());
    }
    let mut err = error::Error::not_run(
        error::ErrorKind::Overloaded,
        format!(
            "the first token is expected in {} ms, and {} ms are left",
            total.as_millis(),
            left.as_millis()
        ),
    );
    err.retry_after = (estimate.prefill + estimate.round_trip <= left)
        .then(|| total.saturating_sub(left).max(MIN_RETRY));
    Err(err)
}

/// Checks that every direct and transitive dependency of a service has capacity.
///
/// # Errors
///
/// Returns [`error::ErrorKind::DependencyOverloaded`], which names the first without capacity.
pub fn check_dependencies(
    snapshot: &snapshot::Snapshot,
    service: &text::Service,
    now: ids::Timestamp,
) -> Result<(), error::Error> {
    let mut seen = collections::BTreeSet::new();
    let mut pending: Vec<&str> = service.depends_on.iter().map(String::as_str).collect();
    while let Some(name) = pending.pop() {
        if !seen.insert(name) {
            continue;
        }
        let Some(dependency) = snapshot.text.services.get(name) else {
            return Err(dependency_error(name, "it is not configured"));
        };
        check_dependency(snapshot, dependency, now)?;
        pending.extend(dependency.depends_on.iter().map(String::as_str));
    }
    Ok(())
}

fn check_dependency(
    snapshot: &snapshot::Snapshot,
    service: &text::Service,
    now: ids::Timestamp,
) -> Result<(), error::Error> {
    let Some(target) = target(&snapshot.text, service) else {
        return Err(dependency_error(
            &service.name,
            "its model is not configured",
        ));
    };
    let work = work::Work::new(target, 0);
    let candidates = route::explain(snapshot, &work, now);
    if candidates.iter().all(|c| c.verdict.is_err()) {
        return Err(dependency_error(
            &service.name,
            "it has no usable backend server",
        ));
    }
    let has_capacity = candidates
        .iter()
        .filter(|candidate| candidate.verdict.is_ok())
        .filter_map(|candidate| snapshot.servers.get(&candidate.server))
        .any(|server| server.running < route::estimate::running_limit(&work, server));
    if has_capacity {
        return Ok(());
    }
    Err(dependency_error(
        &service.name,
        "all its backend servers are full",
    ))
}

/// Returns the routing target of a service; `None` if its model or engine kind is not configured.
pub fn target<'a>(text: &'a text::Text, service: &'a text::Service) -> Option<work::Target<'a>> {
    match &service.backing {
        text::Backing::Model { model } => model_target(text, model),
        text::Backing::Plain {
            max_running,
            cold_limit,
            ..
        } => Some(work::Target::Plain {
            service: &service.name,
            max_running: *max_running,
            cold_limit: *cold_limit,
        }),
    }
}

/// Returns a model with the kind of its engines; `None` if either is not configured.
pub fn model_target<'a>(text: &'a text::Text, model: &str) -> Option<work::Target<'a>> {
    let model = text.models.get(model)?;
    let kind = text.engine_kinds.get(&model.engine_kind)?;
    Some(work::Target::Model { model, kind })
}

fn dependency_error(service: &str, reason: &str) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::DependencyOverloaded,
        format!("the required service {service} cannot serve: {reason}"),
    )
}

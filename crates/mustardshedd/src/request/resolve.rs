//! Which model or service a request names, and on what terms it is served.

use std::time;

use mustardshed::{
    config::text,
    core::{error, request::admission},
};

/// Deadline of a request for a model that no service stands before.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);
/// Longest deadline of such a request.
const MAX_DEADLINE: time::Duration = time::Duration::from_secs(3_600);
/// Retries for each 100 first sends of such requests.
const RETRY_PERCENT: u32 = 10;

/// A model that a request names, with the service that stands before it.
#[derive(Clone, Copy, Debug)]
pub struct Resolved<'a> {
    /// Model.
    pub model: &'a text::Model,
    /// Kind of the engines that run it.
    pub kind: &'a text::EngineKind,
    /// Service, if one stands before the model.
    pub service: Option<&'a text::Service>,
}

/// Terms on which a request is served.
#[derive(Clone, Copy, Debug)]
pub struct ServicePolicy<'a> {
    /// Service, or model if no service stands before it.
    pub name: &'a str,
    /// Deadline of a request that names none.
    pub default_deadline: time::Duration,
    /// Longest deadline that a request may name.
    pub max_deadline: time::Duration,
    /// Retries for each 100 first sends, at most.
    pub retry_percent: u32,
}

impl<'a> ServicePolicy<'a> {
    /// Returns the terms of a service.
    pub fn for_service(service: &'a text::Service) -> Self {
        Self {
            name: &service.name,
            default_deadline: service.default_deadline,
            max_deadline: service.max_deadline,
            retry_percent: service.retry_percent,
        }
    }
}

impl<'a> Resolved<'a> {
    /// Returns the terms on which requests for the model are served.
    pub fn policy(&self) -> ServicePolicy<'a> {
        self.service.map_or(
            ServicePolicy {
                name: &self.model.name,
                default_deadline: DEFAULT_DEADLINE,
                max_deadline: MAX_DEADLINE,
                retry_percent: RETRY_PERCENT,
            },
            ServicePolicy::for_service,
        )
    }
}

/// Finds the model that `name` names: a service that a model stands behind, or a model itself.
///
/// # Errors
///
/// Returns [`error::ErrorKind::UnknownModel`], or [`error::ErrorKind::Forbidden`] if the account
/// may use no service of the model.
pub fn model<'a>(
    text: &'a text::Text,
    account: &text::ClientAccount,
    name: &str,
) -> Result<Resolved<'a>, error::Error> {
    if let Some(service) = text.services.get(name) {
        admission::check_permission(account, &service.name)?;
        if let text::Backing::Model { model } = &service.backing {
            return resolved(text, model, Some(service));
        }
    }
    if !text.models.contains_key(name) {
        return Err(unknown_model(name));
    }
    let mut services = services_of(text, name).peekable();
    if services.peek().is_none() && account.services.is_empty() {
        return resolved(text, name, None);
    }
    let service = services
        .find(|service| admission::check_permission(account, &service.name).is_ok())
        .ok_or_else(|| forbidden(name))?;
    resolved(text, name, Some(service))
}

/// Finds a plain service.
///
/// # Errors
///
/// Returns [`error::ErrorKind::UnknownService`], or [`error::ErrorKind::Forbidden`] if the account
/// may not use it.
pub fn plain_service<'a>(
    text: &'a text::Text,
    account: &text::ClientAccount,
    name: &str,
) -> Result<&'a text::Service, error::Error> {
    let service = text
        .services
        .get(name)
        .ok_or_else(|| unknown_service(name))?;
    admission::check_permission(account, name)?;
    Ok(service)
}

/// Returns the services that a model stands behind.
fn services_of<'a>(text: &'a text::Text, name: &str) -> impl Iterator<Item = &'a text::Service> {
    text.services.values().filter(
        move |service| matches!(&service.backing, text::Backing::Model { model } if model == name),
    )
}

fn resolved<'a>(
    text: &'a text::Text,
    model: &str,
    service: Option<&'a text::Service>,
) -> Result<Resolved<'a>, error::Error> {
    let model = text.models.get(model).ok_or_else(|| unknown_model(model))?;
    let kind = text
        .engine_kinds
        .get(&model.engine_kind)
        .ok_or_else(|| unknown_model(&model.name))?;
    Ok(Resolved {
        model,
        kind,
        service,
    })
}

fn unknown_model(name: &str) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::UnknownModel,
        format!("{} names no model", name.escape_debug()),
    )
}

fn forbidden(name: &str) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::Forbidden,
        format!("this client account may not use model {name}"),
    )
}

/// Makes the error for a name that no plain service has.
pub fn unknown_service(name: &str) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::UnknownService,
        format!("{} names no plain service", name.escape_debug()),
    )
}

//! Lookup of the model or service that a request names, with its limits.

use std::time;

use mustardshed::{
    config::text,
    core::{error, request::admission},
};

/// Default deadline of a request for a model without a service.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);
/// Longest deadline of a request for a model without a service.
const MAX_DEADLINE: time::Duration = time::Duration::from_secs(3_600);
/// Greatest number of retries per 100 first sends for a model without a service.
const RETRY_PERCENT: u32 = 10;

/// Model that a request names, with the service that it backs.
#[derive(Clone, Copy, Debug)]
pub struct Resolved<'a> {
    /// Model that runs the request.
    pub model: &'a text::Model,
    /// Kind of the engines that run the model.
    pub kind: &'a text::EngineKind,
    /// Service through which the model is used, if any.
    pub service: Option<&'a text::Service>,
}

/// Deadlines and retry limit of the requests for a service, or for a model without one.
#[derive(Clone, Copy, Debug)]
pub struct ServicePolicy<'a> {
    /// Name of the service, or of the model if it is used without one.
    pub name: &'a str,
    /// Deadline of a request that sets none.
    pub default_deadline: time::Duration,
    /// Longest deadline that a request may set.
    pub max_deadline: time::Duration,
    /// Greatest number of retries per 100 first sends.
    pub retry_percent: u32,
}

impl<'a> ServicePolicy<'a> {
    /// Returns the policy of a service.
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
    /// Returns the policy of the service, or the default one for a model without a service.
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

/// Finds the model that `name` denotes: a service that is backed by a model, or a model itself.
///
/// # Errors
///
/// Returns [`error::ErrorKind::UnknownModel`] if there is no such model, or
/// [`error::ErrorKind::Forbidden`] if the account may use no service of the model.
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

/// Finds the plain service that `name` denotes.
///
/// # Errors
///
/// Returns [`error::ErrorKind::UnknownService`] if there is no such service, or
/// [`error::ErrorKind::Forbidden`] if the account may not use it.
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

/// Returns the services that are backed by a model.
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
        format!("there is no model {}", name.escape_debug()),
    )
}

fn forbidden(name: &str) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::Forbidden,
        format!("this client account may use no service of model {name}"),
    )
}

/// Returns the error for a name that no plain service has.
pub fn unknown_service(name: &str) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::UnknownService,
        format!("there is no plain service {}", name.escape_debug()),
    )
}

//! Names that stand for other tables of the text.

use std::collections;

use super::names;
use crate::{
    problem,
    reader::report,
    text::{Backing, tables},
};

/// Reports every name that no table has, and plain services that share their name with an engine kind.
pub(super) fn check(report: &report::Report<'_>, tables: &tables::Tables) {
    check_models(report, tables);
    check_services(report, tables);
    check_client_accounts(report, tables);
}

fn check_models(report: &report::Report<'_>, tables: &tables::Tables) {
    let kinds = names(&tables.engine_kinds);
    for item in &tables.models {
        let Some(model) = &item.value else { continue };
        let path = item.path_of("engine_kind");
        check_name(report, &path, &model.engine_kind, &kinds, "engine kind");
    }
}

fn check_services(report: &report::Report<'_>, tables: &tables::Tables) {
    let models = names(&tables.models);
    let kinds = names(&tables.engine_kinds);
    let services = names(&tables.services);
    for item in &tables.services {
        let Some(service) = &item.value else { continue };
        match &service.backing {
            Backing::Model { model } => {
                check_name(report, &item.path_of("model"), model, &models, "model");
            }
            Backing::Plain { .. } if kinds.contains(service.name.as_str()) => {
                report.add(&item.path_of("name"), problem::Reason::KindTaken);
            }
            Backing::Plain { .. } => {}
        }
        let path = item.path_of("depends_on");
        check_list(report, &path, &service.depends_on, &services);
    }
}

fn check_client_accounts(report: &report::Report<'_>, tables: &tables::Tables) {
    let services = names(&tables.services);
    for item in &tables.client_accounts {
        let Some(account) = &item.value else { continue };
        let path = item.path_of("services");
        check_list(report, &path, &account.services, &services);
    }
}

fn check_list(
    report: &report::Report<'_>,
    path: &str,
    list: &[String],
    services: &collections::BTreeSet<&str>,
) {
    for (i, name) in list.iter().enumerate() {
        let path = format!("{path}[{i}]");
        check_name(report, &path, name, services, "service");
        if list[..i].contains(name) {
            let line = report.line(&path);
            report.add(&path, problem::Reason::Duplicate { line });
        }
    }
}

fn check_name(
    report: &report::Report<'_>,
    path: &str,
    name: &str,
    known: &collections::BTreeSet<&str>,
    what: &'static str,
) {
    if !known.contains(name) {
        report.add(path, problem::Reason::UnknownReference { what });
    }
}

//! References to other tables of the configuration by name.

use std::collections;

use super::names;
use crate::{
    problem,
    reader::report,
    text::{Backing, tables},
};

/// Reports references to tables that do not exist, and duplicates in lists. Empty names are
/// skipped: they replace values that could not be read.
///
/// Also reports plain services that have the name of an engine kind.
pub(super) fn check(report: &report::Report<'_>, tables: &tables::Tables) {
    check_models(report, tables);
    check_services(report, tables);
    check_client_accounts(report, tables);
}

fn check_models(report: &report::Report<'_>, tables: &tables::Tables) {
    let kinds = names(&tables.engine_kinds);
    for item in &tables.models {
        let path = item.path_of("engine_kind");
        check_reference(
            report,
            &path,
            &item.value.engine_kind,
            &kinds,
            "engine kind",
        );
    }
}

fn check_services(report: &report::Report<'_>, tables: &tables::Tables) {
    let models = names(&tables.models);
    let kinds = names(&tables.engine_kinds);
    let services = names(&tables.services);
    for item in &tables.services {
        let service = &item.value;
        match &service.backing {
            Backing::Model { model } => {
                check_reference(report, &item.path_of("model"), model, &models, "model");
            }
            Backing::Plain { .. } if kinds.contains(service.name.as_str()) => {
                report.add(&item.path_of("name"), problem::Reason::KindTaken);
            }
            Backing::Plain { .. } => {}
        }
        let path = item.path_of("depends_on");
        check_references(report, &path, &service.depends_on, &services);
    }
}

fn check_client_accounts(report: &report::Report<'_>, tables: &tables::Tables) {
    let services = names(&tables.services);
    for item in &tables.client_accounts {
        let path = item.path_of("services");
        check_references(report, &path, &item.value.services, &services);
    }
}

fn check_references(
    report: &report::Report<'_>,
    list_path: &str,
    list: &[String],
    services: &collections::BTreeSet<&str>,
) {
    let mut first_uses = collections::BTreeMap::new();
    for (i, name) in list.iter().enumerate() {
        let path = format!("{list_path}[{i}]");
        check_reference(report, &path, name, services, "service");
        let first = *first_uses.entry(name).or_insert(i);
        if first != i && !name.is_empty() {
            let line = report.line(&format!("{list_path}[{first}]"));
            report.add(&path, problem::Reason::Duplicate { line });
        }
    }
}

fn check_reference(
    report: &report::Report<'_>,
    path: &str,
    name: &str,
    known: &collections::BTreeSet<&str>,
    what: &'static str,
) {
    if !name.is_empty() && !known.contains(name) {
        report.add(path, problem::Reason::UnknownReference { what });
    }
}

//! Checks of the configuration's tables against each other.

mod cycles;
mod duplicates;
mod references;

use std::collections;

use super::{EngineKind, MAX_GANG_SERVERS, Model, tables};
use crate::{
    problem,
    reader::{item, report},
};

/// Reports every problem between tables.
pub(super) fn check(report: &report::Report<'_>, tables: &tables::Tables) {
    duplicates::check(report, tables);
    references::check(report, tables);
    cycles::check(report, &tables.services);
    check_contexts(report, tables);
}

/// Returns the names of all tables, also invalid ones, so that a problem in a table is not reported
/// again at each reference to it.
fn names<T>(items: &[item::Item<T>]) -> collections::BTreeSet<&str> {
    items
        .iter()
        .filter_map(|item| item.name.as_deref())
        .collect()
}

fn check_contexts(report: &report::Report<'_>, tables: &tables::Tables) {
    let kinds = tables.engine_kinds.iter().map(|item| &item.value);
    let kinds: collections::BTreeMap<&str, &EngineKind> =
        kinds.map(|kind| (kind.name.as_str(), kind)).collect();
    for item in &tables.models {
        if let Some(kind) = kinds.get(item.value.engine_kind.as_str()) {
            check_context(report, item, kind);
        }
    }
}

fn check_context(report: &report::Report<'_>, item: &item::Item<Model>, kind: &EngineKind) {
    let context_tokens = item.value.context_tokens;
    if kind.memory_tokens == 0 {
        return;
    }
    let needed = context_tokens.div_ceil(kind.memory_tokens);
    if needed <= MAX_GANG_SERVERS {
        return;
    }
    let reason = problem::Reason::NotServable {
        needed,
        kind: kind.name.clone(),
        greatest: MAX_GANG_SERVERS,
    };
    report.add(&item.path_of("context_tokens"), reason);
}

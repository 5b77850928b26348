//! Names and API keys that are used twice.

use std::collections;

use crate::{
    problem,
    reader::{item, report},
    text::{ClientAccount, tables},
};

/// Default in place of a digest that could not be read.
const INVALID_DIGEST: [u8; 32] = [0; 32];

/// Reports names shared by tables of one kind, and API keys that are listed twice.
pub(super) fn check(report: &report::Report<'_>, tables: &tables::Tables) {
    check_names(report, &tables.data_centres);
    check_names(report, &tables.engine_kinds);
    check_names(report, &tables.models);
    check_names(report, &tables.services);
    check_names(report, &tables.client_accounts);
    check_keys(report, &tables.client_accounts);
}

fn check_names<T>(report: &report::Report<'_>, items: &[item::Item<T>]) {
    let mut first_uses = collections::BTreeMap::new();
    for item in items {
        let Some(name) = &item.name else { continue };
        let path = item.path_of("name");
        let line = report.line(&path);
        if let Some(first) = first_uses.get(name) {
            report.add(&path, problem::Reason::Duplicate { line: *first });
        } else {
            first_uses.insert(name, line);
        }
    }
}

fn check_keys(report: &report::Report<'_>, items: &[item::Item<ClientAccount>]) {
    let mut first_uses = collections::BTreeMap::new();
    for item in items {
        for (i, digest) in item.value.key_digests.iter().enumerate() {
            if *digest == INVALID_DIGEST {
                continue;
            }
            let path = item.path_of(&format!("key_sha256[{i}]"));
            let line = report.line(&path);
            if let Some(first) = first_uses.get(digest) {
                let shown = format!("\"{}...\"", hex::encode(&digest[..4]));
                report.add_value(&path, shown, problem::Reason::Duplicate { line: *first });
            } else {
                first_uses.insert(digest, line);
            }
        }
    }
}

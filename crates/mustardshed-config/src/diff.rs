//! Differences between two configurations, key by key.

mod change;
mod diffable;

use std::collections;

pub use change::{Change, FieldValue, Subject};
use diffable::Diffable;

use crate::text;

/// Returns the changes that turn `before` into `after`.
///
/// They are ordered by kind of table, then by name and key.
pub fn between(before: &text::Text, after: &text::Text) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(&before.data_centres, &after.data_centres, &mut changes);
    compare(&before.engine_kinds, &after.engine_kinds, &mut changes);
    compare(&before.models, &after.models, &mut changes);
    compare(&before.services, &after.services, &mut changes);
    compare(
        &before.client_accounts,
        &after.client_accounts,
        &mut changes,
    );
    changes
}

fn compare<T: Diffable>(
    before: &collections::BTreeMap<String, T>,
    after: &collections::BTreeMap<String, T>,
    changes: &mut Vec<Change>,
) {
    let names: collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) => compare_fields(name, old, new, changes),
            (Some(_), None) => changes.push(Change::Removed {
                subject: T::SUBJECT,
                name: name.clone(),
            }),
            (None, Some(new)) => changes.push(Change::Added {
                subject: T::SUBJECT,
                name: name.clone(),
                fields: new.fields(),
            }),
            (None, None) => {}
        }
    }
}

fn compare_fields<T: Diffable>(name: &str, old: &T, new: &T, changes: &mut Vec<Change>) {
    let old = by_key(old);
    let new = by_key(new);
    let keys: collections::BTreeSet<&&str> = old.keys().chain(new.keys()).collect();
    for key in keys {
        let before = old.get(*key).cloned();
        let after = new.get(*key).cloned();
        if before != after {
            changes.push(Change::Changed {
                subject: T::SUBJECT,
                name: name.to_owned(),
                key,
                before,
                after,
            });
        }
    }
}

fn by_key<T: Diffable>(item: &T) -> collections::BTreeMap<&'static str, String> {
    let fields = item.fields().into_iter();
    fields.map(|field| (field.key, field.value)).collect()
}

//! Differences between two configurations.

use std::collections;

use displaydoc::Display;

use crate::forward::routes::{Account, ClientLimits, Parts, Route, Service};

/// What happens to a part of a configuration.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Kind {
    /// added
    Added,
    /// removed
    Removed,
    /// changed
    Changed,
}

/// A difference. Keys are not part of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// What happens to the part.
    pub kind: Kind,
    /// Part of the configuration, such as `route drafts`.
    pub subject: String,
    /// What changes in it; empty unless it is changed.
    pub details: Vec<String>,
}

/// Returns the changes from one configuration to another, in the order of their texts.
#[must_use]
pub fn diff(old: &Parts, new: &Parts) -> Vec<Change> {
    let mut changes = Vec::new();
    let (routes, before) = (
        named(&new.routes, |r| &r.name),
        named(&old.routes, |r| &r.name),
    );
    compare(
        "route",
        &before,
        &routes,
        |a, b| differing(route_fields(a), route_fields(b)),
        &mut changes,
    );
    let services = named(&new.services, |s| &s.name);
    let before = named(&old.services, |s| &s.name);
    compare(
        "service",
        &before,
        &services,
        |a, b| differing(service_fields(a), service_fields(b)),
        &mut changes,
    );
    let accounts = named(new.accounts.as_deref().unwrap_or_default(), |a| &a.0.name);
    let before = named(old.accounts.as_deref().unwrap_or_default(), |a| &a.0.name);
    compare("account", &before, &accounts, account_details, &mut changes);
    diff_limits(old, new, &mut changes);
    changes
}

/// Items by their names, in the order of their text; of several with a name, the last one counts.
type Named<'a, T> = Vec<(&'a str, &'a T)>;

fn named<'a, T>(items: &'a [T], name: impl Fn(&'a T) -> &'a String) -> Named<'a, T> {
    items
        .iter()
        .map(|item| (name(item).as_str(), item))
        .collect()
}

fn compare<T: PartialEq>(
    what: &str,
    old: &Named<'_, T>,
    new: &Named<'_, T>,
    details: impl Fn(&T, &T) -> Vec<String>,
    changes: &mut Vec<Change>,
) {
    let before: collections::HashMap<_, _> = old.iter().copied().collect();
    let after: collections::HashMap<_, _> = new.iter().copied().collect();
    let mut push = |kind, name: &str, details| {
        let subject = format!("{what} {name}");
        changes.push(Change {
            kind,
            subject,
            details,
        });
    };
    for (name, item) in new {
        match before.get(name) {
            None => push(Kind::Added, name, Vec::new()),
            Some(earlier) if *earlier != *item => {
                push(Kind::Changed, name, details(earlier, item));
            }
            Some(_) => {}
        }
    }
    for (name, _) in old {
        if !after.contains_key(name) {
            push(Kind::Removed, name, Vec::new());
        }
    }
}

/// Fields of a part with their values.
type Fields = Vec<(&'static str, String)>;

/// Returns the fields that differ, as `field: old -> new`.
fn differing(old: Fields, new: Fields) -> Vec<String> {
    let pairs = old.into_iter().zip(new);
    let pairs = pairs.filter(|((_, old), (_, new))| old != new);
    let details = pairs.map(|((field, old), (_, new))| format!("{field}: {old} -> {new}"));
    details.collect()
}

fn route_fields(route: &Route) -> Fields {
    let services = route.services.iter();
    let services = services.map(|(name, weight)| format!("{name} ({weight})"));
    vec![
        ("host", route.host.clone()),
        ("prefix", route.prefix.clone()),
        ("kind", format!("{:?}", route.kind)),
        ("timeout", format!("{:?}", route.timeout)),
        ("objective", format!("{:?}", route.objective)),
        ("gap objective", format!("{:?}", route.gap_objective)),
        ("priority", route.priority.to_string()),
        ("services", services.collect::<Vec<_>>().join(", ")),
        ("maximum of attempts", route.max_attempts.to_string()),
        ("public", route.is_public.to_string()),
    ]
}

fn service_fields(service: &Service) -> Fields {
    let rate = service.cold_rate_limit;
    let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
    let mut fields = vec![("rate while cold", rate)];
    let engine = service.engine;
    fields.push((
        "engine",
        engine.map_or("none".to_owned(), |e| format!("{e:?}")),
    ));
    fields
}

fn limit_fields(limits: &ClientLimits) -> Fields {
    vec![
        ("largest head", format!("{} bytes", limits.max_header_bytes)),
        ("largest body", format!("{} bytes", limits.max_body_bytes)),
        ("timeout of a head", format!("{:?}", limits.header_timeout)),
        ("idle timeout", format!("{:?}", limits.idle_timeout)),
    ]
}

fn account_details(old: &(Account, Vec<String>), new: &(Account, Vec<String>)) -> Vec<String> {
    let mut details = Vec::new();
    if old.0.priority != new.0.priority {
        let text = |priority: Option<u8>| priority.map_or("none".to_owned(), |p| p.to_string());
        let (before, after) = (text(old.0.priority), text(new.0.priority));
        details.push(format!("priority: {before} -> {after}"));
    }
    let count = |keys: &[String], others: &[String]| {
        keys.iter().filter(|key| !others.contains(key)).count()
    };
    let (added, removed) = (count(&new.1, &old.1), count(&old.1, &new.1));
    if added + removed > 0 {
        details.push(format!("keys: {added} added, {removed} removed"));
    } else if old.1 != new.1 {
        details.push("keys: the same in another order or number".to_owned());
    }
    details
}

fn diff_limits(old: &Parts, new: &Parts, changes: &mut Vec<Change>) {
    let (kind, details) = match (&old.limits, &new.limits) {
        (None, Some(_)) => (Kind::Added, Vec::new()),
        (Some(_), None) => (Kind::Removed, Vec::new()),
        (Some(old), Some(new)) if old != new => (
            Kind::Changed,
            differing(limit_fields(old), limit_fields(new)),
        ),
        _ => return,
    };
    let subject = "limits".to_owned();
    changes.push(Change {
        kind,
        subject,
        details,
    });
}

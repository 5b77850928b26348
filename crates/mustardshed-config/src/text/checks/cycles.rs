//! Cycles among the dependencies of services.

use std::collections;

use crate::{
    problem,
    reader::{item, report},
    text::Service,
};

/// Services that may still be part of a cycle, by name.
type Remaining<'t> = collections::BTreeMap<&'t str, &'t item::Item<Service>>;

/// Most cycles that are reported.
const MAX_CYCLES: usize = 100;

/// Reports the first [`MAX_CYCLES`] cycles, each once, at the service whose dependency closes it.
pub(super) fn check(report: &report::Report<'_>, services: &[item::Item<Service>]) {
    let mut remaining: Remaining<'_> = services
        .iter()
        .map(|item| (item.value.name.as_str(), item))
        .filter(|(name, _)| !name.is_empty())
        .collect();
    for _ in 0..MAX_CYCLES {
        remove_acyclic(&mut remaining);
        let Some(start) = remaining.keys().next().copied() else {
            return;
        };
        let cycle = find_cycle(&remaining, start);
        report_cycle(report, &remaining, &cycle);
        for name in cycle {
            remaining.remove(name);
        }
    }
}

/// Removes services that have no remaining dependency, until each one left has some.
fn remove_acyclic(remaining: &mut Remaining<'_>) {
    let mut dependents: collections::BTreeMap<&str, Vec<&str>> = collections::BTreeMap::new();
    let mut counts = collections::BTreeMap::new();
    for (name, item) in remaining.iter() {
        let count = dependencies(remaining, item).count();
        counts.insert(*name, count);
        for dependency in dependencies(remaining, item) {
            dependents.entry(dependency).or_default().push(name);
        }
    }
    let mut acyclic: Vec<&str> = counts
        .iter()
        .filter(|(_, count)| **count == 0)
        .map(|(name, _)| *name)
        .collect();
    while let Some(name) = acyclic.pop() {
        remaining.remove(name);
        for dependent in dependents.remove(name).unwrap_or_default() {
            let Some(count) = counts.get_mut(dependent) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                acyclic.push(dependent);
            }
        }
    }
}

/// Follows dependencies from `start` until a service repeats; each remaining service has one.
fn find_cycle<'t>(remaining: &Remaining<'t>, start: &'t str) -> Vec<&'t str> {
    let mut path = vec![start];
    let mut positions = collections::BTreeMap::from([(start, 0)]);
    let mut at = start;
    while let Some(next) = remaining
        .get(at)
        .and_then(|item| dependencies(remaining, item).next())
    {
        if let Some(position) = positions.get(next) {
            return path.split_off(*position);
        }
        positions.insert(next, path.len());
        path.push(next);
        at = next;
    }
    path
}

fn dependencies<'t>(
    remaining: &Remaining<'t>,
    item: &'t item::Item<Service>,
) -> impl Iterator<Item = &'t str> {
    let depends_on = item.value.depends_on.iter();
    depends_on.filter_map(|name| {
        remaining
            .get_key_value(name.as_str())
            .map(|(name, _)| *name)
    })
}

fn report_cycle(report: &report::Report<'_>, remaining: &Remaining<'_>, cycle: &[&str]) {
    let (Some(first), Some(last)) = (cycle.first(), cycle.last()) else {
        return;
    };
    let Some(item) = remaining.get(last) else {
        return;
    };
    let cycle = format!("{} -> {first}", cycle.join(" -> "));
    report.add(
        &item.path_of("depends_on"),
        problem::Reason::Cycle { cycle },
    );
}

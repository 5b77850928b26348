//! Ranks models: dependencies are loaded before the models that depend on them.

use std::collections;

use mustardshed_config::text;

use crate::ids;

/// Returns the configured models ordered by the dependency depth of their services, then by name,
/// so that a model comes after those that its services depend on.
pub fn ranked(text: &text::Text) -> Vec<&text::Model> {
    let mut depths = collections::BTreeMap::new();
    for service in text.services.keys() {
        depth(text, service, &mut depths);
    }
    let mut models: Vec<&text::Model> = text.models.values().collect();
    models.sort_by_key(|model| (rank(text, &model.name, &depths), &model.name));
    models
}

/// Returns the lowest depth of the services that a model backs; `usize::MAX` if it backs none.
fn rank(
    text: &text::Text,
    model: &str,
    depths: &collections::BTreeMap<ids::ServiceId, usize>,
) -> usize {
    text.services
        .values()
        .filter(|service| backs(model, service))
        .filter_map(|service| depths.get(&service.name))
        .min()
        .copied()
        .unwrap_or(usize::MAX)
}

/// Returns whether a model backs a service.
fn backs(model: &str, service: &text::Service) -> bool {
    matches!(&service.backing, text::Backing::Model { model: name } if name == model)
}

/// Returns the length of the longest dependency chain of a service; a valid configuration has no
/// cycles.
fn depth(
    text: &text::Text,
    service: &str,
    depths: &mut collections::BTreeMap<ids::ServiceId, usize>,
) -> usize {
    if let Some(depth) = depths.get(service) {
        return *depth;
    }
    depths.insert(service.to_owned(), 0);
    let depends_on = text.services.get(service).map(|s| s.depends_on.as_slice());
    let depth_below = depends_on
        .unwrap_or_default()
        .iter()
        .map(|other| depth(text, other, depths) + 1)
        .max()
        .unwrap_or(0);
    depths.insert(service.to_owned(), depth_below);
    depth_below
}

//! Decides which engine to change next, and how.

use std::collections;

use mustardshed_config::text;

use crate::{
    boundary::backend_server,
    ids,
    process::placement::{demand, engines, rank, record},
};

/// Divisor of the number of engines of a kind: while that part of them, at least one, is loading,
/// no engine that serves a model gets an order.
const LOADING_DIVISOR: usize = 4;
/// Shortage, in engines, from which a model gets an engine that serves another model.
const MIN_SHORTAGE_ENGINES: f64 = 1.5;
/// Fraction of its engines' KV memory that the demand for a model must reach before the model gets
/// an engine that serves another model.
const BUSY_FRACTION: f64 = 0.5;

/// Adapters that each engine accepted, with the engine's epoch at that time.
pub type AcceptedAdapters =
    collections::BTreeMap<ids::BackendServerId, (ids::Epoch, collections::BTreeSet<String>)>;

/// A change of what one engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Backend server and order.
    pub load: record::WeightLoad,
    /// Reason, for the log.
    pub reason: &'static str,
}

/// Inputs of the decision.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// Configuration.
    pub text: &'a text::Text,
    /// Engines.
    pub engines: &'a engines::Engines,
    /// Demand.
    pub demand: &'a demand::Demand,
    /// Loads in progress.
    pub loads: &'a [record::WeightLoad],
    /// Engines that get no new load, each until the given time.
    pub ejected: &'a collections::BTreeMap<ids::BackendServerId, ids::Timestamp>,
    /// Adapters that engines accepted under this lease.
    pub adapters: &'a AcceptedAdapters,
}

impl<'a> Plan<'a> {
    /// Returns the next change, if one is required and allowed.
    pub fn next_change(&self) -> Option<Change> {
        let models = rank::ranked(self.text);
        let steps: [fn(&Self, &'a text::Model) -> Option<Change>; 5] = [
            Self::load_missing_model,
            Self::replace_outdated_version,
            Self::use_idle_engine,
            Self::add_engine,
            Self::load_adapter,
        ];
        steps
            .iter()
            .find_map(|step| models.iter().find_map(|model| step(self, model)))
    }

    /// Returns the load of a model that no engine serves.
    fn load_missing_model(&self, model: &'a text::Model) -> Option<Change> {
        if self.serving_count(model) > 0 {
            return None;
        }
        let engine = self.best_engine(model, |_| true)?;
        Some(load(model, engine, "no engine holds the model"))
    }

    /// Returns the load of the configured version on an engine that holds another version.
    fn replace_outdated_version(&self, model: &'a text::Model) -> Option<Change> {
        let engine = self.best_engine(model, |engine| engine.models.contains_key(&model.name))?;
        Some(load(model, engine, "the engine holds another version"))
    }

    /// Returns the load of a model on an engine that serves none, if no model of its kind has a
    /// greater shortage.
    fn use_idle_engine(&self, model: &'a text::Model) -> Option<Change> {
        let neediest = self.models_of_kind(&model.engine_kind).max_by(|a, b| {
            let by_shortage = self.shortage(a).total_cmp(&self.shortage(b));
            by_shortage.then_with(|| b.name.cmp(&a.name))
        })?;
        if neediest.name != model.name {
            return None;
        }
        let engine = self.best_engine(model, |engine| !self.serves_any(engine))?;
        Some(load(model, engine, "the engine holds no configured model"))
    }

    /// Returns the load of a model on another engine, if its engines are busy and fewer than its
    /// share.
    fn add_engine(&self, model: &'a text::Model) -> Option<Change> {
        if self.shortage(model) < MIN_SHORTAGE_ENGINES || !self.is_busy(model) {
            return None;
        }
        let engine = self.best_engine(model, |_| true)?;
        Some(load(model, engine, "too few engines for the demand"))
    }

    /// Returns the load of an adapter on an engine that holds its model but has not accepted it.
    fn load_adapter(&self, model: &'a text::Model) -> Option<Change> {
        model.adapters.iter().find_map(|adapter| {
            let engine = self
                .changeable(&model.engine_kind)
                .filter(|engine| engine.holds(&model.name, &model.version))
                .find(|engine| !self.has_adapter(engine, adapter))?;
            let order = backend_server::Order::LoadAdapter {
                adapter: adapter.clone(),
            };
            Some(change(
                engine,
                order,
                "the engine has not accepted the adapter under this lease",
            ))
        })
    }

    /// Returns the best engine for a load of a model, among those for which `wanted` returns true.
    ///
    /// Preferred are engines that serve no model, then those with another version of it, then cold
    /// ones, then those in the data centre where the fewest serve it, then the least busy.
    fn best_engine(
        &self,
        model: &'a text::Model,
        wanted: impl Fn(&engines::Engine) -> bool,
    ) -> Option<&'a engines::Engine> {
        let mut serving = None;
        self.changeable(&model.engine_kind)
            .filter(|engine| !engine.holds(&model.name, &model.version))
            .filter(|engine| wanted(engine) && !self.is_last_holder(engine, &model.name))
            .min_by_key(|engine| {
                let serving = serving.get_or_insert_with(|| self.serving_by_data_centre(model));
                (
                    self.serves_any(engine),
                    !engine.models.contains_key(&model.name),
                    engine.is_warm,
                    serving.get(engine.data_centre.as_str()).copied(),
                    engine.busy_tokens,
                    &engine.id,
                )
            })
    }

    /// Returns the engines of a kind that may get an order now; those that serve a model only while
    /// few enough are loading.
    fn changeable(&self, kind: &'a str) -> impl Iterator<Item = &'a engines::Engine> {
        let engines = self.engines.of_kind(kind);
        let count = engines.clone().count();
        let loading = engines.clone().filter(|e| self.load_on(&e.id).is_some());
        let is_at_limit = loading.count() >= (count / LOADING_DIVISOR).max(1);
        engines
            .filter(move |engine| engine.is_reachable && !(is_at_limit && self.serves_any(engine)))
            .filter(|engine| self.load_on(&engine.id).is_none())
            .filter(|engine| !self.ejected.contains_key(&engine.id))
    }

    /// Returns whether an engine is the last one that can serve any model other than `except`.
    fn is_last_holder(&self, engine: &engines::Engine, except: &str) -> bool {
        self.models_of_kind(&engine.kind)
            .filter(|model| model.name != except && engine.holds(&model.name, &model.version))
            .any(|model| {
                !self.engines.of_kind(&engine.kind).any(|other| {
                    other.id != engine.id
                        && other.is_reachable
                        && other.holds(&model.name, &model.version)
                        && (other.is_warm || !engine.is_warm)
                        && self.load_on(&other.id).is_none()
                })
            })
    }

    /// Returns the configured models for an engine kind.
    fn models_of_kind<'b>(
        &self,
        kind: &'b str,
    ) -> impl Iterator<Item = &'a text::Model> + use<'a, 'b> {
        let models = self.text.models.values();
        models.filter(move |model| model.engine_kind == kind)
    }

    fn load_on(&self, server: &str) -> Option<&'a record::WeightLoad> {
        self.loads.iter().find(|load| load.server == server)
    }

    /// Returns whether an engine serves any configured model.
    fn serves_any(&self, engine: &engines::Engine) -> bool {
        let mut models = self.models_of_kind(&engine.kind);
        models.any(|model| self.serves(engine, model))
    }

    /// Returns whether an engine has loaded the configured version of a model, or is loading it.
    fn serves(&self, engine: &engines::Engine, model: &text::Model) -> bool {
        let is_loading = self
            .load_on(&engine.id)
            .is_some_and(|load| load.order == load_order(model));
        is_loading || engine.holds(&model.name, &model.version)
    }

    /// Returns how many engines serve a model.
    fn serving_count(&self, model: &text::Model) -> usize {
        let engines = self.engines.of_kind(&model.engine_kind);
        engines.filter(|engine| self.serves(engine, model)).count()
    }

    /// Returns how many engines serve a model, by data centre; those without any are left out.
    fn serving_by_data_centre(
        &self,
        model: &'a text::Model,
    ) -> collections::BTreeMap<&'a str, usize> {
        let mut counts = collections::BTreeMap::new();
        for engine in self.engines.of_kind(&model.engine_kind) {
            if self.serves(engine, model) {
                *counts.entry(engine.data_centre.as_str()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns how many engines a model lacks for its share of the demand; negative if it has more.
    fn shortage(&self, model: &text::Model) -> f64 {
        let kind = model.engine_kind.as_str();
        let total: f64 = self
            .models_of_kind(kind)
            .map(|m| self.demand.of(&m.name))
            .sum();
        let fraction = if total > 0.0 {
            self.demand.of(&model.name) / total
        } else {
            1.0 / self.models_of_kind(kind).count() as f64
        };
        let share = fraction * self.engines.of_kind(kind).count() as f64;
        share - self.serving_count(model) as f64
    }

    /// Returns whether the demand for a model reaches [`BUSY_FRACTION`] of its engines' KV memory.
    fn is_busy(&self, model: &text::Model) -> bool {
        let engines = self.engines.of_kind(&model.engine_kind);
        let memory: ids::Tokens = engines
            .filter(|engine| self.serves(engine, model))
            .map(|engine| engine.memory_tokens)
            .sum();
        self.demand.of(&model.name) >= memory as f64 * BUSY_FRACTION
    }

    /// Returns whether an engine accepted an adapter in its current epoch.
    fn has_adapter(&self, engine: &engines::Engine, adapter: &str) -> bool {
        self.adapters
            .get(&engine.id)
            .is_some_and(|(epoch, loaded)| *epoch == engine.epoch && loaded.contains(adapter))
    }
}

/// Returns the order that loads the configured version of a model.
pub fn load_order(model: &text::Model) -> backend_server::Order {
    backend_server::Order::LoadModel {
        model: model.name.clone(),
        version: model.version.clone(),
    }
}

fn load(model: &text::Model, engine: &engines::Engine, reason: &'static str) -> Change {
    change(engine, load_order(model), reason)
}

fn change(engine: &engines::Engine, order: backend_server::Order, reason: &'static str) -> Change {
    let load = record::WeightLoad {
        server: engine.id.clone(),
        order,
    };
    Change { load, reason }
}

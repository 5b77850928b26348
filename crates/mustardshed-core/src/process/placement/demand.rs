//! Smoothed demand for each model.

use std::{collections, time};

use mustardshed_config::text;

use crate::{ids, process::placement::engines};

/// Time constant of the smoothing: after this time a step in the demand counts for about 63 %.
const TIME_CONSTANT: time::Duration = time::Duration::from_secs(30);

/// Demand for each model in tokens, as an exponential moving average.
///
/// The demand is the KV memory in use, plus the prompt tokens that wait for prefill, on the engines
/// that have loaded the model. The tokens of an engine with several models are split equally.
#[derive(Debug, Default)]
pub struct Demand {
    tokens: collections::BTreeMap<ids::ModelId, f64>,
    measured_at: Option<ids::Timestamp>,
}

impl Demand {
    /// Updates the smoothed demand with what the engines show at `now`.
    pub fn measure(&mut self, text: &text::Text, engines: &engines::Engines, now: ids::Timestamp) {
        let elapsed = self
            .measured_at
            .map_or(time::Duration::ZERO, |at| now.saturating_sub(at));
        self.measured_at = Some(now);
        let weight = 1.0 - (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let previous = std::mem::take(&mut self.tokens);
        for model in text.models.values() {
            let smoothed = previous.get(&model.name).copied().unwrap_or(0.0);
            let current = current_demand(text, model, engines);
            let tokens = smoothed + (current - smoothed) * weight;
            self.tokens.insert(model.name.clone(), tokens);
        }
    }

    /// Returns the smoothed demand for a model, in tokens.
    pub fn of(&self, model: &str) -> f64 {
        self.tokens.get(model).copied().unwrap_or(0.0)
    }
}

/// Returns the current demand for a model, not smoothed, in tokens.
fn current_demand(text: &text::Text, model: &text::Model, engines: &engines::Engines) -> f64 {
    engines
        .of_kind(&model.engine_kind)
        .filter(|engine| engine.holds(&model.name, &model.version))
        .map(|engine| engine.busy_tokens as f64 / count_held(text, engine) as f64)
        .sum()
}

/// Returns how many configured models an engine has loaded; at least one.
fn count_held(text: &text::Text, engine: &engines::Engine) -> usize {
    let models = text.models.values();
    models
        .filter(|model| model.engine_kind == engine.kind)
        .filter(|model| engine.holds(&model.name, &model.version))
        .count()
        .max(1)
}

//! Demand for each model, smoothed.

use std::{collections, time};

use mustardshed_config::text;

use crate::{ids, process::placement::engines};

/// Time constant of the smoothing: after it, a step of the demand counts for about 63 %.
const TIME_CONSTANT: time::Duration = time::Duration::from_secs(30);

/// Demand for each model, in tokens, smoothed exponentially.
///
/// It is the KV memory in use, and the prompt tokens that wait for prefill, on the engines that
/// hold the model. An engine that holds several models counts for each with an equal part.
#[derive(Debug, Default)]
pub struct Demand {
    tokens: collections::BTreeMap<ids::ModelId, f64>,
    measured_at: Option<ids::Timestamp>,
}

impl Demand {
    /// Moves the smoothed demand towards what the engines show at `now`.
    pub fn measure(&mut self, text: &text::Text, engines: &engines::Engines, now: ids::Timestamp) {
        let elapsed = self
            .measured_at
            .map_or(time::Duration::ZERO, |at| now.saturating_sub(at));
        self.measured_at = Some(now);
        let weight = 1.0 - (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let before = std::mem::take(&mut self.tokens);
        for model in text.models.values() {
            let smooth = before.get(&model.name).copied().unwrap_or(0.0);
            let present = current_demand(text, model, engines);
            let tokens = smooth + (present - smooth) * weight;
            self.tokens.insert(model.name.clone(), tokens);
        }
    }

    /// Returns the demand for a model, in tokens.
    pub fn of(&self, model: &str) -> f64 {
        self.tokens.get(model).copied().unwrap_or(0.0)
    }
}

/// Returns the present demand for a model, in tokens.
fn current_demand(text: &text::Text, model: &text::Model, engines: &engines::Engines) -> f64 {
    engines
        .of_kind(&model.engine_kind)
        .filter(|engine| engine.holds(&model.name, &model.version))
        .map(|engine| engine.busy_tokens as f64 / count_held(text, engine) as f64)
        .sum()
}

/// Returns how many models of the text an engine holds; one at least.
fn count_held(text: &text::Text, engine: &engines::Engine) -> usize {
    let models = text.models.values();
    models
        .filter(|model| model.engine_kind == engine.kind)
        .filter(|model| engine.holds(&model.name, &model.version))
        .count()
        .max(1)
}

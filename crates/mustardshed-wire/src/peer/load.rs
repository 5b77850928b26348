//! A backend server's load report on the wire, without the requests that it holds.

use std::{collections, time};

use mustardshed_core::boundary::backend_server;

use super::{error, field};

const MAX_MODELS: usize = 256;

/// Warmth on the wire.
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub enum Warmth {
    /// It can serve its cold limit only.
    #[serde(rename = "c")]
    Cold,
    /// It can serve its full load.
    #[serde(rename = "w")]
    Warm,
}

/// A load report on the wire.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct LoadReport {
    #[serde(rename = "e")]
    epoch: u64,
    #[serde(rename = "w")]
    warmth: Warmth,
    #[serde(rename = "l", default, skip_serializing_if = "field::is_default")]
    leaving: bool,
    #[serde(rename = "a", default, skip_serializing_if = "field::is_default")]
    age_nanos: u64,
    #[serde(rename = "m")]
    memory_tokens: u64,
    #[serde(rename = "u", default, skip_serializing_if = "field::is_default")]
    used_tokens: u64,
    #[serde(rename = "q", default, skip_serializing_if = "field::is_default")]
    queued_prefill_tokens: u64,
    #[serde(rename = "r", default, skip_serializing_if = "field::is_default")]
    running: u32,
    #[serde(rename = "o", default, skip_serializing_if = "field::is_default")]
    models: collections::BTreeMap<String, String>,
}

impl From<backend_server::Warmth> for Warmth {
    fn from(warmth: backend_server::Warmth) -> Self {
        match warmth {
            backend_server::Warmth::Cold => Self::Cold,
            backend_server::Warmth::Warm => Self::Warm,
        }
    }
}

impl From<Warmth> for backend_server::Warmth {
    fn from(warmth: Warmth) -> Self {
        match warmth {
            Warmth::Cold => Self::Cold,
            Warmth::Warm => Self::Warm,
        }
    }
}

impl From<backend_server::LoadReport> for LoadReport {
    fn from(report: backend_server::LoadReport) -> Self {
        Self {
            epoch: report.epoch,
            warmth: report.warmth.into(),
            leaving: report.leaving,
            age_nanos: field::to_nanos(report.age),
            memory_tokens: report.memory_tokens,
            used_tokens: report.used_tokens,
            queued_prefill_tokens: report.queued_prefill_tokens,
            running: report.running,
            models: report.models,
        }
    }
}

impl TryFrom<LoadReport> for backend_server::LoadReport {
    type Error = error::Error;

    fn try_from(report: LoadReport) -> Result<Self, Self::Error> {
        if report.models.len() > MAX_MODELS {
            return Err(error::Error::OutOfBounds("models"));
        }
        Ok(Self {
            epoch: report.epoch,
            warmth: report.warmth.into(),
            leaving: report.leaving,
            age: time::Duration::from_nanos(report.age_nanos),
            memory_tokens: report.memory_tokens,
            used_tokens: report.used_tokens,
            queued_prefill_tokens: report.queued_prefill_tokens,
            running: report.running,
            models: report.models,
            held: Vec::new(),
        })
    }
}

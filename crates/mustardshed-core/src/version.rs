//! State with the lifetime of one configuration generation.

pub mod configuration;
pub mod confirmation;
pub mod freshness;
pub mod intents;
pub mod record;

//! What lives as long as one generation of the configuration.

pub mod configuration;
pub mod confirmation;
pub mod freshness;
pub mod intents;
pub mod record;

//! What lives as long as one generation of the configuration.

pub mod record;

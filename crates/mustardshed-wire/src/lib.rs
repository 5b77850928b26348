//! Wire types and codecs, kept apart from the core's types.

pub mod claim;
pub mod configuration;
pub mod data_lines;
pub mod forward;
pub mod operator;
pub mod peer;
pub mod placement;

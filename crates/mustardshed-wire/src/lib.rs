//! Wire types and codecs, apart from the core's own types.

pub mod claim;
pub mod configuration;
pub mod data_lines;
pub mod forward;
pub mod operator;
pub mod peer;
pub mod placement;

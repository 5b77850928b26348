//! Wire types and codecs, apart from the core's own types.

pub mod configuration;
pub mod operator;
pub mod peer;

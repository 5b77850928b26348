//! What the entries of a whole fleet cost: processor time, memory, bytes and calls of the platform.
//!
//! Two [`sample::Sample`]s with some time between them make a [`cost::Cost`].

pub mod cost;
pub mod sample;

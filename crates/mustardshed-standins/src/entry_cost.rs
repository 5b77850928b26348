//! Cost of the entries of a whole fleet: CPU time, memory, bytes and platform calls.
//!
//! A [`cost::Cost`] is computed from two [`sample::Sample`]s taken some time apart.

pub mod cost;
pub mod sample;

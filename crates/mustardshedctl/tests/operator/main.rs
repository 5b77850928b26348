//! Tests of the operators' client with a platform and entries in memory.

mod apply;
mod commands;
mod fakes;
mod intents;

//! The operators' client against a platform and entries in memory.

mod apply;
mod commands;
mod fakes;
mod intents;

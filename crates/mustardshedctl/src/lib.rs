//! Library behind the operators' client of mustardshed, for the program and its tests.

pub mod apply;
pub mod clock;
pub mod commands;
pub mod entries;
pub mod exit;
pub mod failure;
pub mod output;
pub mod record_change;
pub mod wait;

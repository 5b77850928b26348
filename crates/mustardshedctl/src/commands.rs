//! The subcommands.

pub mod apply;
pub mod check;
pub mod check_forwarding;
pub mod context;
pub mod data_centre;
pub mod diff;
pub mod explain;
pub mod get;
pub mod history;
pub mod request;
pub mod status;
mod table;
mod value;

use crate::{failure, output};

/// Result of a subcommand.
pub type Result = std::result::Result<output::Output, failure::Failure>;

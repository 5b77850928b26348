//! Severity of log lines.

use crate::{
    problem,
    reader::{field, read},
};

/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogLevel {
    /// The process cannot continue.
    Critical,
    /// Something failed.
    Error,
    /// Something is unusual.
    Warn,
    /// Every decision.
    Info,
    /// Details of decisions.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Returns the value of `log_level` in the settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }

    /// Reads the value of `log_level`.
    pub(crate) fn read(field: &field::Field<'_, '_>) -> Option<Self> {
        let value = match field.string()? {
            "critical" => Some(Self::Critical),
            "error" => Some(Self::Error),
            "warn" => Some(Self::Warn),
            "info" => Some(Self::Info),
            "debug" => Some(Self::Debug),
            "trace" => Some(Self::Trace),
            _ => None,
        };
        let choices = "\"critical\", \"error\", \"warn\", \"info\", \"debug\", \"trace\"";
        read::checked(field, value, problem::Reason::NotAChoice { choices })
    }
}

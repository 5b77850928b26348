//! One difference between two configurations.

use std::fmt;

use displaydoc::Display;

/// Kind of table that a difference is in.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Subject {
    /// data_centre
    DataCentre,
    /// engine_kind
    EngineKind,
    /// model
    Model,
    /// service
    Service,
    /// client_account
    ClientAccount,
}

/// A key and its value, formatted as TOML.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{key} = {value}")]
pub struct FieldValue {
    /// Key.
    pub key: &'static str,
    /// Value in TOML syntax; digests of API keys are shortened.
    pub value: String,
}

/// One difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A table was added.
    Added {
        /// Kind of table.
        subject: Subject,
        /// Name of the table.
        name: String,
        /// Keys and values of the table, without its name.
        fields: Vec<FieldValue>,
    },
    /// A table was removed.
    Removed {
        /// Kind of table.
        subject: Subject,
        /// Name of the table.
        name: String,
    },
    /// A value of a table was changed.
    Changed {
        /// Kind of table.
        subject: Subject,
        /// Name of the table.
        name: String,
        /// Key.
        key: &'static str,
        /// Old value; `None` if the key was not set.
        before: Option<String>,
        /// New value; `None` if the key is no longer set.
        after: Option<String>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added {
                subject,
                name,
                fields,
            } => {
                let fields: Vec<String> = fields.iter().map(ToString::to_string).collect();
                write!(f, "+ {subject} {name}: {}", fields.join(", "))
            }
            Self::Removed { subject, name } => write!(f, "- {subject} {name}"),
            Self::Changed {
                subject,
                name,
                key,
                before,
                after,
            } => {
                let before = before.as_deref().unwrap_or("(none)");
                let after = after.as_deref().unwrap_or("(none)");
                write!(f, "~ {subject} {name}: {key} = {before} -> {after}")
            }
        }
    }
}

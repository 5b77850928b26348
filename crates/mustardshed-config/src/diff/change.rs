//! One difference.

use std::fmt;

use displaydoc::Display;

/// Which kind of table a difference is in.
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

/// A key with its value as it is written in TOML.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{key} = {value}")]
pub struct FieldValue {
    /// Key.
    pub key: &'static str,
    /// Value; digests of keys are shortened.
    pub value: String,
}

/// One difference between two texts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A table comes.
    Added {
        /// Kind of table.
        subject: Subject,
        /// Its name.
        name: String,
        /// Its keys and values.
        fields: Vec<FieldValue>,
    },
    /// A table goes.
    Removed {
        /// Kind of table.
        subject: Subject,
        /// Its name.
        name: String,
    },
    /// A value of a table changes.
    Changed {
        /// Kind of table.
        subject: Subject,
        /// Its name.
        name: String,
        /// Key.
        key: &'static str,
        /// Value so far, if there is one.
        before: Option<String>,
        /// Value from now on, if there is one.
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

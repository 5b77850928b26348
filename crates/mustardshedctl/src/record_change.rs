//! Differences between two configuration records.

use std::{collections, fmt};

use mustardshed::{
    config::{diff, text},
    core::{ids, version::record},
};

/// One difference between two records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordChange {
    /// A table of the configuration text, or a value in it, differs.
    Text(diff::Change),
    /// The texts differ, and one of them cannot be parsed by this program.
    Unparsable,
    /// A data centre was taken out of service.
    DataCentreOut(ids::DataCentreId),
    /// A data centre was brought back into service.
    DataCentreIn(ids::DataCentreId),
}

impl fmt::Display for RecordChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(change) => change.fmt(f),
            Self::Unparsable => f.write_str("~ the text, which this program cannot parse"),
            Self::DataCentreOut(name) => write!(f, "~ data_centre {name}: in -> out"),
            Self::DataCentreIn(name) => write!(f, "~ data_centre {name}: out -> in"),
        }
    }
}

/// Returns the changes from `before` to `after`; `None` is an empty configuration.
pub fn between(before: Option<&record::Record>, after: &record::Record) -> Vec<RecordChange> {
    let none = collections::BTreeSet::new();
    let (text, out) = match before {
        Some(before) => (before.text.as_str(), &before.data_centres_out),
        None => ("", &none),
    };
    let mut changes = between_texts(text, &after.text);
    let taken_out = after.data_centres_out.difference(out);
    changes.extend(taken_out.cloned().map(RecordChange::DataCentreOut));
    let brought_in = out.difference(&after.data_centres_out);
    changes.extend(brought_in.cloned().map(RecordChange::DataCentreIn));
    changes
}

/// Returns the changes from one configuration text to another.
pub fn between_texts(before: &str, after: &str) -> Vec<RecordChange> {
    match (text::parse(before), text::parse(after)) {
        (Ok(before), Ok(after)) => {
            let changes = diff::between(&before, &after).into_iter();
            changes.map(RecordChange::Text).collect()
        }
        _ if before == after => Vec::new(),
        _ => vec![RecordChange::Unparsable],
    }
}

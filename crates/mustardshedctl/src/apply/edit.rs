//! Changes that operators make to the configuration.

use std::collections;

use displaydoc::Display;
use mustardshed::{
    config::{problem, text},
    core::{ids, version::record},
};

use super::Current;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 16;

/// A change to the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Edit {
    /// Replaces the configuration text; data centres stay out of or in service.
    Text(String),
    /// Takes a data centre out of service.
    DataCentreOut(ids::DataCentreId),
    /// Brings a data centre back into service.
    DataCentreIn(ids::DataCentreId),
}

/// Why a change cannot be made.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EditError {
    /// the configuration text is not valid
    Text(Vec<problem::Problem>),
    /// there is no data centre {0:?} in the configuration
    UnknownDataCentre(ids::DataCentreId),
}

impl std::error::Error for EditError {}

impl Edit {
    /// Returns the record of the next generation after `base`, with a new nonce.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid or names no such data centre.
    pub fn apply(&self, base: &Current, author: &str) -> Result<record::Record, EditError> {
        let mut record = record::Record {
            generation: base.generation() + 1,
            text: String::new(),
            data_centres_out: collections::BTreeSet::new(),
            nonce: hex::encode(rand::random::<[u8; NONCE_BYTES]>()),
            author: author.to_owned(),
        };
        if let Some(base) = &base.record {
            record.text.clone_from(&base.text);
            record.data_centres_out.clone_from(&base.data_centres_out);
        }
        match self {
            Self::Text(text) => {
                text::parse(text).map_err(EditError::Text)?;
                record.text.clone_from(text);
            }
            Self::DataCentreOut(name) => {
                check_known(&record, name)?;
                record.data_centres_out.insert(name.clone());
            }
            Self::DataCentreIn(name) => {
                if !record.data_centres_out.remove(name) {
                    check_known(&record, name)?;
                }
            }
        }
        Ok(record)
    }
}

fn check_known(record: &record::Record, name: &str) -> Result<(), EditError> {
    let text = text::parse(&record.text).map_err(EditError::Text)?;
    if text.data_centres.contains_key(name) {
        return Ok(());
    }
    Err(EditError::UnknownDataCentre(name.to_owned()))
}

//! The configuration in force: the greatest generation that was heard of from anyone.
//!
//! Records come from the platform, from operators and from other entries, late and in any order.
//! The greatest generation wins and never goes back, which makes stale reads, late watches and
//! old peers harmless. A record whose text is not understood, as one written for a later release,
//! counts for its generation and for the data centres it takes out; the text before it stays.

use std::{collections, sync};

use mustardshed_config::text;

use crate::{
    error, ids, mutation,
    process::action,
    version::{intents, record},
};

/// The configuration in force and the intents beside it.
#[derive(Debug, Default)]
pub struct Configuration {
    record: Option<record::Record>,
    text: sync::Arc<text::Text>,
    intents: intents::Intents,
}

impl Configuration {
    /// Returns the generation in force; zero before the first.
    pub fn generation(&self) -> ids::Generation {
        self.record.as_ref().map_or(0, |record| record.generation)
    }

    /// Returns the record in force.
    pub const fn record(&self) -> Option<&record::Record> {
        self.record.as_ref()
    }

    /// Returns the text in force.
    pub const fn text(&self) -> &sync::Arc<text::Text> {
        &self.text
    }

    /// Returns the intents, without their texts.
    pub fn intents(&self) -> impl Iterator<Item = &record::Record> {
        self.intents.records()
    }

    /// Returns the data centres that get no new work, by the record in force or by an intent.
    pub fn data_centres_out(&self) -> collections::BTreeSet<ids::DataCentreId> {
        let intended = self.intents.records();
        self.record
            .iter()
            .chain(intended)
            .flat_map(|record| &record.data_centres_out)
            .cloned()
            .collect()
    }

    /// Takes an accepted record; returns whether it came into force.
    pub fn apply(
        &mut self,
        record: record::Record,
        source: &str,
        out: &mut Vec<action::Action>,
    ) -> bool {
        let is_newer = record.generation > self.generation()
            || (mutation::on("configuration_reverts") && record.generation != self.generation());
        if !is_newer {
            return false;
        }
        self.intents.end_through(record.generation);
        out.push(action::Action::Log(
            action::LogEvent::ConfigurationInForce {
                generation: record.generation,
                source: source.to_owned(),
            },
        ));
        match parse(&record.text) {
            Ok(text) => self.text = sync::Arc::new(text),
            Err(reason) => out.push(not_understood(record.generation, reason)),
        }
        self.record = Some(record);
        true
    }

    /// Takes an operator's intent.
    ///
    /// # Errors
    ///
    /// Returns an error if its text is not valid, a record of its generation is in force already,
    /// or too many intents are held.
    pub fn add_intent(
        &mut self,
        record: &record::Record,
        now: ids::Timestamp,
    ) -> Result<(), error::Error> {
        if record.generation <= self.generation() {
            return Err(conflict(self.generation()));
        }
        parse(&record.text).map_err(|reason| {
            error::Error::not_run(error::ErrorKind::ConfigurationInvalid, reason)
        })?;
        if self.add_peer_intent(record, now) {
            Ok(())
        } else {
            Err(conflict(self.generation()))
        }
    }

    /// Takes an intent that another entry holds; returns false if it finds no place.
    pub fn add_peer_intent(&mut self, record: &record::Record, now: ids::Timestamp) -> bool {
        if record.generation <= self.generation() || mutation::on("intents_ignored") {
            return true;
        }
        self.intents.insert(record, now)
    }

    /// Ends the intents that a read of the platform shows to be given up.
    pub fn end_abandoned_intents(&mut self, begun_at: ids::Timestamp, shown: ids::Generation) {
        self.intents.end_abandoned(begun_at, shown);
    }
}

fn parse(source: &str) -> Result<text::Text, String> {
    text::parse(source).map_err(|problems| {
        problems
            .first()
            .map_or_else(|| "not valid".to_owned(), ToString::to_string)
    })
}

fn not_understood(generation: ids::Generation, reason: String) -> action::Action {
    action::Action::Log(action::LogEvent::ConfigurationNotUnderstood { generation, reason })
}

fn conflict(generation: ids::Generation) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::ConfigurationConflict,
        format!("generation {generation} is in force or another intent stands"),
    )
}

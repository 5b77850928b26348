//! The configuration in force: the highest generation received from any source.
//!
//! Records come from the platform, from operators and from other entries, late and in any order.
//! The highest generation wins and is never replaced by a lower one, which makes stale reads, late
//! watches and outdated peers harmless. If the text of a record is not valid, such as one written
//! for a later release, its generation and its data centres out of service apply, and the previous
//! text stays in use.

use std::{collections, sync};

use mustardshed_config::text;

use crate::{
    error, ids, mutation,
    process::action,
    version::{intents, record},
};

/// The configuration in force and the pending intents.
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

    /// Applies an accepted record; returns whether it came into force.
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

    /// Adds an operator's intent.
    ///
    /// # Errors
    ///
    /// Returns an error if its text is not valid, its generation or a later one is in force, or too
    /// many intents are held.
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

    /// Adds an intent received from another entry; returns `false` if too many intents are held.
    pub fn add_peer_intent(&mut self, record: &record::Record, now: ids::Timestamp) -> bool {
        if record.generation <= self.generation() || mutation::on("intents_ignored") {
            return true;
        }
        self.intents.insert(record, now)
    }

    /// Ends the intents that a platform read shows to be abandoned.
    pub fn end_abandoned_intents(&mut self, begun_at: ids::Timestamp, shown: ids::Generation) {
        self.intents.end_abandoned(begun_at, shown);
    }
}

fn parse(source: &str) -> Result<text::Text, String> {
    text::parse(source).map_err(|problems| {
        problems
            .first()
            .map_or_else(|| "the text is not valid".to_owned(), ToString::to_string)
    })
}

fn not_understood(generation: ids::Generation, reason: String) -> action::Action {
    action::Action::Log(action::LogEvent::ConfigurationNotUnderstood { generation, reason })
}

fn conflict(generation: ids::Generation) -> error::Error {
    error::Error::not_run(
        error::ErrorKind::ConfigurationConflict,
        format!("generation {generation} is already in force, or too many intents are pending"),
    )
}

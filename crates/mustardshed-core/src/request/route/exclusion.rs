//! Reasons for which a backend server may not be given work.

use displaydoc::Display;

use crate::{process::snapshot, request::route::work};

/// Why a backend server may not be given work.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Exclusion {
    /// its data centre is out of service
    DataCentreOut,
    /// it is leaving
    Leaving,
    /// it does not answer
    Unreachable,
    /// it has not reported its load yet
    NotReported,
    /// it was already tried for this request
    Tried,
    /// it has not loaded the model
    ModelNotLoaded,
    /// it has loaded another version of the model
    OtherVersion,
    /// its memory is too small for the work
    TooSmall,
    /// no entry grants its credits
    NoSteward,
}

impl Exclusion {
    /// Returns whether the reason goes away by itself within seconds.
    pub const fn is_transient(self) -> bool {
        matches!(self, Self::NotReported | Self::NoSteward)
    }
}

/// Returns why a server of the right kind may not be given the work; `None` if it may.
pub fn check(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    server: &snapshot::ServerView,
) -> Option<Exclusion> {
    let out = &snapshot.data_centres_out;
    if !out.is_empty() && out.contains(&server.data_centre) {
        return Some(Exclusion::DataCentreOut);
    }
    if server.leaving {
        return Some(Exclusion::Leaving);
    }
    if !server.reachable && server.reported_at.is_zero() {
        return Some(Exclusion::NotReported);
    }
    if !server.reachable {
        return Some(Exclusion::Unreachable);
    }
    if work.tried.contains(&server.id) {
        return Some(Exclusion::Tried);
    }
    if server.steward.is_none() {
        return Some(Exclusion::NoSteward);
    }
    check_model(work, server)
}

fn check_model(work: &work::Work<'_>, server: &snapshot::ServerView) -> Option<Exclusion> {
    let work::Target::Model { model, .. } = work.target else {
        return None;
    };
    match server.models.get(&model.name) {
        None => return Some(Exclusion::ModelNotLoaded),
        Some(version) if *version != model.version => return Some(Exclusion::OtherVersion),
        Some(_) => {}
    }
    (work.memory_tokens > server.memory_tokens).then_some(Exclusion::TooSmall)
}

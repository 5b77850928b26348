//! Which prompt parts the crashes of servers have in common.

use std::{collections, time};

use crate::{
    forward::quarantine::{Crash, Suspect},
    ids,
};

/// Crashes under different requests after which the part that they have in common is to blame.
const MIN_CRASHES: usize = 3;
/// Shortest time between two of these crashes: servers that are lost together have a cause outside,
/// and in between, requests with a harmless part that is common are answered.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The suspects that have a part, each with the index of its crash. Requests of one session have the
/// same own part, so that only all parts tell them apart.
type Occurrences<'a> = collections::BTreeSet<(usize, &'a Suspect)>;

/// Returns sets of parts, each of which explains crashes that no other set explains better. A set
/// has more than one part if no suspect has only some of them.
pub(super) fn find_culprits(crashes: &[&Crash]) -> Vec<Vec<ids::PromptPartId>> {
    let mut unexplained = crashes.to_vec();
    unexplained.sort_by_key(|crash| crash.at);
    let mut found = Vec::new();
    while let Some(parts) = best_explanation(&unexplained) {
        let before = unexplained.len();
        unexplained.retain(|crash| !crash.is_explained_by(&parts));
        if unexplained.len() == before {
            // The same set would be found again.
            break;
        }
        found.push(parts);
    }
    found
}

/// A part that may be to blame.
struct Candidate<'a> {
    part: &'a str,
    occurrences: Occurrences<'a>,
    /// Indices of the crashes in which it occurs.
    crashes: collections::BTreeSet<usize>,
    /// Crashes under requests with it, one for each request and apart from each other.
    count: usize,
}

impl<'a> Candidate<'a> {
    fn new(part: &'a str, occurrences: Occurrences<'a>, crashes: &[&Crash]) -> Self {
        Self {
            part,
            crashes: occurrences.iter().map(|(crash, _)| *crash).collect(),
            count: count(&occurrences, crashes),
            occurrences,
        }
    }
}

/// Returns the parts that explain most of these crashes; none if that is ambiguous.
fn best_explanation(crashes: &[&Crash]) -> Option<Vec<ids::PromptPartId>> {
    let found = occurrences(crashes).into_iter();
    let candidates = found.map(|(part, found)| Candidate::new(part, found, crashes));
    let mut candidates: Vec<Candidate<'_>> = candidates.collect();
    let most = candidates.iter().map(|it| it.count).max()?;
    if most < MIN_CRASHES {
        return None;
    }
    candidates.retain(|candidate| candidate.count == most);
    // Of parts that crashed the same servers, the one with the fewest requests is to blame, if all
    // of these have the others as well.
    candidates.iter().find_map(|candidate| {
        let rivals = candidates.iter();
        let rivals = rivals.filter(|rival| !rival.crashes.is_disjoint(&candidate.crashes));
        let rivals: Vec<&Candidate<'_>> = rivals.collect();
        let mut rivals_found = rivals.iter().map(|rival| &rival.occurrences);
        let is_narrowest = rivals_found.all(|found| candidate.occurrences.is_subset(found));
        let parts = rivals.iter().map(|rival| rival.part.to_owned());
        is_narrowest.then(|| parts.collect())
    })
}

/// Returns the suspects of each part that occurs in enough crashes.
fn occurrences<'a>(crashes: &[&'a Crash]) -> collections::BTreeMap<&'a str, Occurrences<'a>> {
    let mut found: collections::BTreeMap<&str, Occurrences<'_>> = collections::BTreeMap::new();
    for (i, crash) in crashes.iter().enumerate() {
        for suspect in &crash.suspects {
            for part in &suspect.shared {
                let occurrences = found.entry(part).or_default();
                occurrences.insert((i, suspect));
            }
        }
    }
    found.retain(|_, occurrences| occurrences.len() >= MIN_CRASHES);
    found
}

/// Returns the number of crashes under requests with a part, one for each request and apart from
/// each other.
fn count(found: &Occurrences<'_>, crashes: &[&Crash]) -> usize {
    let mut requests = collections::BTreeSet::new();
    let mut last_at = None;
    for (i, suspect) in found {
        let Some(crash) = crashes.get(*i) else {
            continue;
        };
        let is_apart = last_at.is_none_or(|last| crash.at.saturating_sub(last) >= MIN_INTERVAL);
        if is_apart && requests.insert(&suspect.own) {
            last_at = Some(crash.at);
        }
    }
    requests.len()
}

//! The fleet under test in a storm.

use crate::fleet::spec;

/// Number of entries.
const ENTRIES: usize = 4;
/// Engines whose kind checks fencing numbers.
const DRAFTING_ENGINES: usize = 6;
/// Engines whose kind ignores fencing numbers.
const LEDGER_ENGINES: usize = 3;

/// Service whose engines check fencing numbers.
pub const DRAFTS: &str = "drafting-drafts";
/// Service whose engines ignore fencing numbers.
pub const LEDGERS: &str = "ledger-drafts";

/// Returns the fleet: two kinds of engines, one plain service with two servers.
pub fn spec() -> spec::Spec {
    let mut spec = spec::Spec::small(DRAFTING_ENGINES, ENTRIES);
    let ledgers = spec::Spec::small(LEDGER_ENGINES, 0).engines;
    for engine in ledgers {
        spec.engines.push(spec::Engine {
            name: engine.name.replace("engine", "ledger"),
            kind: "ledger".to_owned(),
            model: "accounts".to_owned(),
            fencing: "ignored".to_owned(),
            cold_limit: 3,
            ..engine
        });
    }
    let mut second = spec.services[0].clone();
    second.name = "payments-1".to_owned();
    second.data_centre = spec.data_centres[1].clone();
    spec.services.push(second);
    spec
}

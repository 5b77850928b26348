//! Promise 4: a data centre that was taken out gets no new work.

use crate::storm::{evidence, records, verdict};

/// Grace period after the accepting write in which work may still arrive, in milliseconds.
const ALLOWED_MS: u64 = 5_000;

/// An interval in which a data centre must get no work, in Unix milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Out {
    data_centre: String,
    from_ms: u64,
    until_ms: u64,
}

/// Checks that no request reached a server in a data centre after the grace period.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let outs = outs(&evidence.records.accepted);
    let mut violations = Vec::new();
    for (name, data_centre) in &evidence.data_centres {
        let own: Vec<&Out> = outs
            .iter()
            .filter(|out| out.data_centre == *data_centre)
            .collect();
        for (at_ms, id) in arrivals(&evidence.records, name) {
            let is_in = |out: &&&Out| out.from_ms + ALLOWED_MS < at_ms && at_ms < out.until_ms;
            if let Some(out) = own.iter().find(is_in) {
                violations.push(format!(
                    "{id} reached {name} at {at_ms}, {} ms after {data_centre} was taken out",
                    at_ms - out.from_ms
                ));
            }
        }
    }
    let accepted = &evidence.records.accepted;
    let unknown = accepted.iter().filter(|a| a.data_centres_out.is_none());
    let detail = format!(
        "accepted changes {}, intervals out {}, generations without history {}",
        accepted.len(),
        outs.iter()
            .filter(|out| out.until_ms > out.from_ms + ALLOWED_MS)
            .count(),
        unknown.count()
    );
    verdict::Verdict::new(4, violations, detail)
}

/// Returns the intervals; a generation whose history is not known ends those before it.
fn outs(accepted: &[records::Accepted]) -> Vec<Out> {
    let mut open: Vec<Out> = Vec::new();
    let mut closed = Vec::new();
    for change in accepted {
        let out = change.data_centres_out.clone().unwrap_or_default();
        for mut ended in std::mem::take(&mut open) {
            if out.contains(&ended.data_centre) {
                open.push(ended);
            } else {
                ended.until_ms = change.at_ms;
                closed.push(ended);
            }
        }
        for data_centre in out {
            if !open.iter().any(|known| known.data_centre == data_centre) {
                open.push(Out {
                    data_centre,
                    from_ms: change.at_ms,
                    until_ms: u64::MAX,
                });
            }
        }
    }
    closed.extend(open);
    closed
}

/// Returns the requests that reached a backend server, refused ones included, with their times.
fn arrivals<'a>(records: &'a records::Records, name: &str) -> Vec<(u64, &'a str)> {
    let engine = records.engines.get(name).into_iter();
    let requests = engine.flat_map(|r| r.requests.iter().map(|req| (req.at_ms, req.id.as_str())));
    let service = records.services.get(name).into_iter();
    let executions = service.flat_map(|r| {
        let executions = r.executions.iter();
        executions.map(|execution| (execution.at_ms, execution.request_id.as_str()))
    });
    requests.chain(executions).collect()
}

//! What must hold for each request around a planned stop.
//!
//! A request gets one complete answer, or its connection ends before any server has seen it. An
//! answer that says "not run" is true. A call that may run once does not run twice. The process
//! exits by itself before the kill.

use std::{collections, fmt, time};

use crate::{client, entry, server};

/// Which rule was broken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    /// A request that was passed on to a server got no complete answer.
    PassedOnAndCut,
    /// An answer ended early, or was not this request's.
    BrokenAnswer,
    /// A request got no answer on an open connection.
    NoAnswer,
    /// A request that was answered as not run has reached a server.
    UntrueNotRun,
    /// A call that may run once ran more than once.
    RanTwice,
    /// The process did not exit by itself with code 0.
    BadExit,
}

/// A broken rule.
#[derive(Clone, Debug)]
struct Violation {
    fault: Fault,
    kind: Option<client::Kind>,
    request: Option<String>,
    text: String,
}

/// Result of the check.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    violations: Vec<Violation>,
    /// Number of requests by kind and end.
    ends: collections::BTreeMap<String, usize>,
    /// Log lines of the entries about their stops.
    logs: Vec<String>,
    /// Number of planned stops.
    stops: usize,
    /// Number of requests sent within a grace that a server has answered.
    served_in_grace: usize,
}

impl Report {
    /// Returns the number of requests sent within a grace that a server has answered.
    pub(crate) fn served_in_grace(&self) -> usize {
        self.served_in_grace
    }

    /// Returns the numbers of requests and stops.
    pub(crate) fn summary(&self) -> String {
        format!(
            "{} violations, {} stops, {} served in their grace, {:?}",
            self.violations.len(),
            self.stops,
            self.served_in_grace,
            self.ends
        )
    }

    /// Adds what `entries` logged about the requests under which a rule was broken.
    pub(crate) fn add_logs(&mut self, entries: &[entry::Entry]) {
        let broken = self.violations.iter().filter_map(|it| it.request.as_ref());
        let broken: Vec<String> = broken.map(|id| format!("\"request\":\"{id}\"")).collect();
        for entry in entries {
            let log = entry.log();
            let lines = log.lines();
            let lines = lines.filter(|line| broken.iter().any(|id| line.contains(id)));
            let lines = lines.map(|line| format!("entry {}: {line}", entry.index));
            self.logs.extend(lines);
        }
    }

    /// Returns the rules that were broken, one entry for each time.
    pub(crate) fn faults(&self) -> Vec<Fault> {
        self.violations
            .iter()
            .map(|violation| violation.fault)
            .collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut counts = collections::BTreeMap::new();
        for violation in &self.violations {
            *counts
                .entry((violation.fault, violation.kind))
                .or_insert(0_usize) += 1;
        }
        writeln!(f, "{}", self.summary())?;
        for ((fault, kind), count) in counts {
            writeln!(f, "  {fault:?} {kind:?}: {count}")?;
        }
        for violation in &self.violations {
            writeln!(f, "{:?}: {}", violation.fault, violation.text)?;
        }
        if !self.violations.is_empty() {
            writeln!(f, "{}", self.logs.join("\n"))?;
        }
        Ok(())
    }
}

/// Checks all requests and stops.
pub(crate) fn check(
    sent: &[client::Sent],
    servers: &[server::Server],
    stops: &[entry::Stop],
) -> Report {
    let mut report = Report {
        logs: stops.iter().flat_map(|stop| stop.log.clone()).collect(),
        stops: stops.len(),
        served_in_grace: sent
            .iter()
            .filter(|req| is_served_in_grace(req, stops))
            .count(),
        ..Report::default()
    };
    for req in sent {
        let works: Vec<server::Work> = servers
            .iter()
            .flat_map(|server| server.work(&req.id))
            .collect();
        let end = match &req.outcome {
            client::Outcome::Answered(status) => status.to_string(),
            client::Outcome::Broken(_) => "broken".to_owned(),
            client::Outcome::Closed(_) if works.is_empty() => "closed, not passed on".to_owned(),
            client::Outcome::Closed(_) => "closed, passed on".to_owned(),
            client::Outcome::Silent => "silent".to_owned(),
        };
        *report
            .ends
            .entry(format!("{:?} {end}", req.plan.kind))
            .or_default() += 1;
        report
            .violations
            .extend(faults(req, &works, stops).map(|fault| Violation {
                fault,
                kind: Some(req.plan.kind),
                request: Some(req.id.clone()),
                text: describe(req, &works, stops),
            }));
    }
    let bad_exits = stops.iter().filter(|stop| !stop.is_planned());
    report.violations.extend(bad_exits.map(|stop| Violation {
        fault: Fault::BadExit,
        kind: None,
        request: None,
        text: format!(
            "entry {}: exit code {:?}, ended by signal {:?}, killed {}",
            stop.entry, stop.exit_code, stop.exit_signal, stop.is_killed
        ),
    }));
    report
}

fn is_served_in_grace(req: &client::Sent, stops: &[entry::Stop]) -> bool {
    let is_in_grace = |stop: &entry::Stop| {
        req.plan.entry == stop.entry
            && (stop.began_at..stop.began_at + stop.grace).contains(&req.sent_at)
    };
    req.outcome == client::Outcome::Answered(200) && stops.iter().any(is_in_grace)
}

fn faults(
    req: &client::Sent,
    works: &[server::Work],
    stops: &[entry::Stop],
) -> impl Iterator<Item = Fault> {
    let runs = works.iter().filter(|work| !work.is_rejected).count();
    let may_be_cut = stops.iter().any(|stop| may_cut(req, works, stop));
    let of_answer = match req.outcome {
        client::Outcome::Broken(_) | client::Outcome::Closed(_) if may_be_cut => None,
        client::Outcome::Answered(429 | 503) if runs > 0 => Some(Fault::UntrueNotRun),
        client::Outcome::Answered(_) => None,
        client::Outcome::Broken(_) => Some(Fault::BrokenAnswer),
        client::Outcome::Closed(_) if works.is_empty() => None,
        client::Outcome::Closed(_) => Some(Fault::PassedOnAndCut),
        client::Outcome::Silent => Some(Fault::NoAnswer),
    };
    let has_run_twice = req.plan.kind == client::Kind::Once && runs > 1;
    of_answer
        .into_iter()
        .chain(has_run_twice.then_some(Fault::RanTwice))
}

/// Returns whether a stop may cut a request: a stream that was sent before the signal, and whose
/// server is still at work in the last sixth of the grace.
fn may_cut(req: &client::Sent, works: &[server::Work], stop: &entry::Stop) -> bool {
    let end = stop.began_at + stop.grace;
    let last_sixth = end - stop.grace / 6;
    let is_at_work = |work: &server::Work| {
        work.began_at < end && work.ended_at.is_none_or(|ended_at| ended_at >= last_sixth)
    };
    req.plan.kind == client::Kind::Stream
        && req.plan.entry == stop.entry
        && req.sent_at <= stop.began_at
        && works.iter().any(is_at_work)
}

/// Describes a request, with its times in milliseconds from the last signal before its end.
fn describe(req: &client::Sent, works: &[server::Work], stops: &[entry::Stop]) -> String {
    let stops = stops.iter().filter(|stop| stop.entry == req.plan.entry);
    let before_end = stops.filter(|stop| stop.began_at <= req.ended_at);
    let signal = before_end.map(|stop| stop.began_at).max();
    let since = |at: time::Instant| {
        let signal = signal.unwrap_or(req.sent_at);
        let after = at.saturating_duration_since(signal).as_secs_f64();
        (after - signal.saturating_duration_since(at).as_secs_f64()) * 1_000.0
    };
    let works = works.iter().map(|work| {
        let ended = work
            .ended_at
            .map_or("at work".to_owned(), |at| format!("{:.0}", since(at)));
        format!(
            "[{:.0}..{ended} rejected={}]",
            since(work.began_at),
            work.is_rejected
        )
    });
    format!(
        "{} {:?} entry {} body={} deadline={:?} sent {:.0} ended {:.0} {:?} servers {}",
        req.id,
        req.plan.kind,
        req.plan.entry,
        req.plan.has_body,
        req.plan.deadline,
        since(req.sent_at),
        since(req.ended_at),
        req.outcome,
        works.collect::<Vec<_>>().join(" "),
    )
}

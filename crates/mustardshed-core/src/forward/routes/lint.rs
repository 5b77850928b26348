//! Problems of a configuration that an operator should know before it is sent.

use std::collections;

use displaydoc::Display;

use crate::forward::routes::{ClientLimits, Parts, Route};

/// How much a problem matters.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Severity {
    /// error
    Error,
    /// warning
    Warning,
}

/// A problem of a configuration. Keys are not part of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// Part of the configuration, such as `route drafts`.
    pub subject: String,
    /// What is wrong.
    pub problem: Problem,
}

/// What is wrong with a part of a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Problem {
    /// cannot be decoded: {0}
    Undecoded(String),
    /// the version is not higher than {0}, which is in force
    OldVersion(u64),
    /// another one has the same name
    DuplicateName,
    /// holds a key twice (key {0} of its list)
    RepeatedKey(usize),
    /// holds a key that account {holder} holds as well (key {number} of its list)
    SharedKey {
        /// The account that holds the key as well.
        holder: String,
        /// Number of the key in the list of this account, from one.
        number: usize,
    },
    /// has no key, so that nobody can use it
    NoKey,
    /// has no service
    NoService,
    /// names the service {0}, which there is not
    UnknownService(String),
    /// the weights of its services add up to zero
    NoWeight,
    /// never matches: route {0} has the same host and prefix
    Hidden(String),
    /// the prefix does not begin with a slash and never matches
    PrefixWithoutStart,
    /// the prefix does not end with a slash and also matches longer names
    PrefixWithoutEnd,
    /// no route uses it
    UnusedService,
    /// the objective is beyond the timeout
    ObjectiveBeyondTimeout,
    /// the objective for gaps is beyond the timeout
    GapObjectiveBeyondTimeout,
    /// the timeout is zero
    NoTimeout,
    /// the timeout of a head is beyond that of an idle connection
    HeaderTimeoutBeyondIdle,
    /// {0}
    Ineffective(String),
}

/// Finds the problems of a configuration.
#[must_use]
pub fn lint(parts: &Parts) -> Vec<Finding> {
    let mut findings = Findings::default();
    for problem in &parts.undecoded.problems {
        let (subject, reason) = problem.split_once(": ").unwrap_or((problem, "unknown"));
        findings.error(subject, Problem::Undecoded(reason.to_owned()));
    }
    lint_routes(parts, &mut findings);
    lint_services(parts, &mut findings);
    lint_accounts(parts, &mut findings);
    lint_limits(parts, &mut findings);
    for value in &parts.ineffective {
        let text = value.to_string();
        let (subject, reason) = text.split_once(": ").unwrap_or((&text, ""));
        findings.warning(subject, Problem::Ineffective(reason.to_owned()));
    }
    findings.0
}

/// Checks that a configuration replaces the one in force.
#[must_use]
pub fn lint_version(parts: &Parts, in_force: &Parts) -> Option<Finding> {
    (parts.version <= in_force.version).then(|| Finding {
        severity: Severity::Error,
        subject: "version".to_owned(),
        problem: Problem::OldVersion(in_force.version),
    })
}

#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, subject: &str, problem: Problem) {
        self.push(Severity::Error, subject, problem);
    }

    fn warning(&mut self, subject: &str, problem: Problem) {
        self.push(Severity::Warning, subject, problem);
    }

    fn push(&mut self, severity: Severity, subject: &str, problem: Problem) {
        self.0.push(Finding {
            severity,
            subject: subject.to_owned(),
            problem,
        });
    }
}

fn lint_routes(parts: &Parts, findings: &mut Findings) {
    let mut names = collections::HashSet::new();
    let mut matched = collections::HashMap::new();
    for route in &parts.routes {
        let subject = format!("route {}", route.name);
        if !names.insert(&route.name) {
            findings.error(&subject, Problem::DuplicateName);
        }
        lint_prefix(route, &subject, findings);
        let requests = (&route.host, &route.prefix);
        let first = *matched.entry(requests).or_insert(&route.name);
        if !std::ptr::eq(first, &route.name) {
            findings.warning(&subject, Problem::Hidden(first.clone()));
        }
        lint_services_of(route, &subject, parts, findings);
        lint_times(route, &subject, findings);
    }
}

fn lint_prefix(route: &Route, subject: &str, findings: &mut Findings) {
    if !route.prefix.starts_with('/') {
        findings.warning(subject, Problem::PrefixWithoutStart);
    }
    if !route.prefix.ends_with('/') {
        findings.warning(subject, Problem::PrefixWithoutEnd);
    }
}

fn lint_services_of(route: &Route, subject: &str, parts: &Parts, findings: &mut Findings) {
    if route.services.is_empty() {
        findings.error(subject, Problem::NoService);
    } else if route.services.iter().all(|(_, weight)| *weight == 0) {
        findings.warning(subject, Problem::NoWeight);
    }
    for (name, _) in &route.services {
        if parts.services.iter().all(|service| service.name != *name) {
            findings.error(subject, Problem::UnknownService(name.clone()));
        }
    }
}

fn lint_times(route: &Route, subject: &str, findings: &mut Findings) {
    if route.timeout.is_zero() {
        findings.warning(subject, Problem::NoTimeout);
    }
    if route.objective > route.timeout {
        findings.warning(subject, Problem::ObjectiveBeyondTimeout);
    }
    if route.gap_objective > route.timeout {
        findings.warning(subject, Problem::GapObjectiveBeyondTimeout);
    }
}

fn lint_services(parts: &Parts, findings: &mut Findings) {
    let used = parts.routes.iter().flat_map(|route| &route.services);
    let used: collections::HashSet<_> = used.map(|(name, _)| name).collect();
    let mut names = collections::HashSet::new();
    for service in &parts.services {
        let subject = format!("service {}", service.name);
        if !names.insert(&service.name) {
            findings.error(&subject, Problem::DuplicateName);
        }
        if !used.contains(&service.name) {
            findings.warning(&subject, Problem::UnusedService);
        }
    }
}

fn lint_accounts(parts: &Parts, findings: &mut Findings) {
    let mut names = collections::HashSet::new();
    let mut holders = collections::HashMap::new();
    for (i, (account, keys)) in parts.accounts.iter().flatten().enumerate() {
        let subject = format!("account {}", account.name);
        if !names.insert(&account.name) {
            findings.error(&subject, Problem::DuplicateName);
        }
        if keys.is_empty() {
            findings.warning(&subject, Problem::NoKey);
        }
        for (number, key) in (1..).zip(keys) {
            let (holder, name) = *holders.entry(key).or_insert((i, &account.name));
            if holder != i {
                let holder = name.clone();
                findings.error(&subject, Problem::SharedKey { holder, number });
            } else if keys.iter().take(number - 1).any(|earlier| earlier == key) {
                findings.warning(&subject, Problem::RepeatedKey(number));
            }
        }
    }
}

fn lint_limits(parts: &Parts, findings: &mut Findings) {
    let beyond = |limits: &ClientLimits| limits.header_timeout > limits.idle_timeout;
    if parts.limits.as_ref().is_some_and(beyond) {
        findings.warning("limits", Problem::HeaderTimeoutBeyondIdle);
    }
}

//! Checks of a configuration before it is sent: problems, and differences from another version.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::routes::{self, diff, lint};

fn route(name: &str, prefix: &str) -> routes::Route {
    routes::Route {
        name: name.to_owned(),
        host: "shed.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: routes::RouteKind::Idempotent,
        timeout: time::Duration::from_secs(2),
        objective: time::Duration::from_millis(300),
        gap_objective: time::Duration::from_millis(200),
        priority: 0,
        services: vec![("drafts".to_owned(), 1)],
        max_attempts: 2,
        is_public: false,
    }
}

fn service(name: &str) -> routes::Service {
    routes::Service {
        name: name.to_owned(),
        cold_rate_limit: None,
        engine: None,
    }
}

fn account(name: &str, keys: &[&str]) -> (routes::Account, Vec<String>) {
    let account = routes::Account {
        name: name.to_owned(),
        priority: None,
    };
    (account, keys.iter().map(|&key| key.to_owned()).collect())
}

/// Returns a configuration without problems.
fn parts() -> routes::Parts {
    routes::Parts {
        version: 1,
        routes: vec![route("a", "/a/"), route("b", "/b/")],
        services: vec![service("drafts")],
        limits: Some(routes::ClientLimits {
            max_header_bytes: 1_000,
            max_body_bytes: 1_000,
            header_timeout: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(2),
        }),
        accounts: Some(vec![account("chapel", &["k-1"]), account("mill", &["k-2"])]),
        ..routes::Parts::default()
    }
}

/// Returns the problems of a configuration, each as `severity: part: problem`.
fn problems(parts: &routes::Parts) -> Vec<String> {
    let findings = lint::lint(parts).into_iter();
    let line = |f: lint::Finding| format!("{}: {}: {}", f.severity, f.subject, f.problem);
    findings.map(line).collect()
}

#[gtest]
fn sound_configuration_has_no_problems() -> Result<()> {
    verify_that!(problems(&parts()), elements_are![])
}

#[gtest]
fn route_that_another_hides_or_no_path_matches_is_found() -> Result<()> {
    let mut parts = parts();
    parts.routes.push(route("c", "/a/"));
    parts.routes.push(route("d", "d"));

    verify_that!(
        problems(&parts),
        elements_are![
            eq("warning: route c: never matches: route a has the same host and prefix"),
            eq("warning: route d: the prefix does not begin with a slash and never matches"),
            starts_with("warning: route d: the prefix does not end with a slash"),
        ]
    )
}

#[gtest]
fn names_that_are_missing_or_used_twice_are_found() -> Result<()> {
    let mut parts = parts();
    parts.routes[0].services = vec![("gone".to_owned(), 0)];
    parts.routes[1].name = "a".to_owned();
    parts.services.push(service("spare"));

    verify_that!(
        problems(&parts),
        elements_are![
            eq("warning: route a: the weights of its services add up to zero"),
            starts_with("error: route a: names the service gone"),
            eq("error: route a: another one has the same name"),
            eq("warning: service spare: no route uses it"),
        ]
    )
}

// Guards against keys in what is printed.
#[gtest]
fn key_of_two_accounts_is_found_and_not_named() -> Result<()> {
    let mut parts = parts();
    parts.accounts = Some(vec![
        account("chapel", &["secret", "secret"]),
        account("mill", &["other", "secret"]),
    ]);

    let problems = problems(&parts);

    expect_that!(problems, each(not(contains_substring("secret"))));
    verify_that!(
        problems,
        elements_are![
            starts_with("warning: account chapel: holds a key twice (key 2"),
            contains_substring("mill: holds a key that account chapel holds as well (key 2"),
        ]
    )
}

#[gtest]
fn limits_that_contradict_each_other_are_found() -> Result<()> {
    let mut parts = parts();
    parts.routes[0].timeout = time::Duration::from_millis(250);
    parts.routes[1].gap_objective = time::Duration::from_secs(3);
    let limits = parts.limits.as_mut().expect("has limits");
    limits.header_timeout = time::Duration::from_secs(3);
    let no_attempts = routes::Ineffective::NoAttempts("b".to_owned());
    parts.ineffective.push(no_attempts);

    verify_that!(
        problems(&parts),
        elements_are![
            eq("warning: route a: the objective is beyond the timeout"),
            eq("warning: route b: the objective for gaps is beyond the timeout"),
            starts_with("warning: limits: the timeout of a head is beyond"),
            starts_with("warning: route b: the maximum number of attempts is 0"),
        ]
    )
}

#[gtest]
fn differences_name_what_changes_and_no_keys() -> Result<()> {
    let (old, mut new) = (parts(), parts());
    new.routes[0].priority = 3;
    new.routes[1].name = "c".to_owned();
    new.accounts = Some(vec![account("chapel", &["k-3", "k-4"])]);

    let changes = diff::diff(&old, &new).into_iter();
    let lines = changes.map(|c| format!("{} {}: {}", c.kind, c.subject, c.details.join(", ")));

    expect_that!(lint::lint_version(&new, &old), some(anything()));
    verify_that!(
        lines.collect::<Vec<_>>(),
        elements_are![
            eq("changed route a: priority: 0 -> 3"),
            eq("added route c: "),
            eq("removed route b: "),
            eq("changed account chapel: keys: 2 added, 1 removed"),
            eq("removed account mill: "),
        ]
    )
}

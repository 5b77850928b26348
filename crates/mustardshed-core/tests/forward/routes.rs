//! Routes and accounts.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::routes;

fn route(host: &str, prefix: &str, services: Vec<(String, u32)>, is_public: bool) -> routes::Route {
    routes::Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: routes::RouteKind::Idempotent,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_millis(100),
        gap_objective: time::Duration::from_millis(100),
        priority: 1,
        services,
        max_attempts: 2,
        is_public,
    }
}

fn one(service: &str) -> Vec<(String, u32)> {
    vec![(service.to_owned(), 1)]
}

fn table() -> routes::Routes {
    let account = routes::Account {
        name: "chapel".to_owned(),
        priority: None,
    };
    routes::Routes::new(
        7,
        vec![
            route("a.example", "/", one("all"), false),
            route("a.example", "/book/", one("books"), false),
            route("a.example", "/book/old/", one("old"), true),
            route("b.example", "/book/", one("other"), false),
        ],
        Vec::new(),
        None,
        Some(vec![(
            account,
            vec!["key-1".to_owned(), "key-2".to_owned()],
        )]),
    )
}

#[gtest]
fn longest_prefix_of_the_host_wins() -> Result<()> {
    let table = table();
    let service = |host: &str, path: &str| {
        let route = table.route(host, path).ok()?;
        route.pick_service(0).cloned()
    };

    expect_that!(service("a.example", "/book/old/3"), some(eq("old")));
    expect_that!(service("A.Example", "/book/3"), some(eq("books")));
    expect_that!(service("a.example", "/book"), some(eq("all")));
    expect_that!(service("b.example", "/pay/"), none());
    verify_that!(service("c.example", "/book/"), none())
}

#[gtest]
fn keys_belong_to_accounts_and_public_routes_need_none() -> Result<()> {
    let table = table();
    let public = table.route("a.example", "/book/old/").expect("a route");
    let private = table.route("a.example", "/book/").expect("a route");

    expect_that!(table.needs_key(public), eq(false));
    expect_that!(table.needs_key(private), eq(true));
    expect_that!(
        table.account("key-2").map(|a| a.name.as_str()),
        ok(eq("chapel"))
    );
    verify_that!(table.account("key-3"), err(eq(routes::NotFound::Unknown)))
}

#[gtest]
fn requests_are_distributed_by_weight() -> Result<()> {
    let services = vec![
        ("old".to_owned(), 90),
        ("new".to_owned(), 10),
        ("none".to_owned(), 0),
    ];
    let route = route("a.example", "/", services, false);

    let new = (0..1_000)
        .filter(|draw| route.pick_service(*draw).is_some_and(|s| s == "new"))
        .count();
    let none = (0..1_000)
        .filter(|draw| route.pick_service(*draw).is_some_and(|s| s == "none"))
        .count();

    expect_that!(new, eq(100));
    verify_that!(none, eq(0))
}

#[gtest]
fn route_without_weights_has_no_service() -> Result<()> {
    let route = route("a.example", "/", vec![("old".to_owned(), 0)], false);

    verify_that!(route.pick_service(3), none())
}

// Guards against requests on an undecoded route that a shorter prefix takes over, or that get 404.
#[gtest]
fn undecoded_route_hides_shorter_prefixes_of_its_host() -> Result<()> {
    let table = table().with_undecoded(routes::Undecoded {
        routes: vec![
            ("a.example".to_owned(), "/book/new/".to_owned()),
            ("b.example".to_owned(), "/".to_owned()),
        ],
        ..routes::Undecoded::default()
    });
    let name = |host: &str, path: &str| table.route(host, path).map(|route| route.name.as_str());

    expect_that!(
        name("A.example", "/book/new/1"),
        err(eq(routes::NotFound::Undecoded))
    );
    expect_that!(name("a.example", "/book/1"), ok(eq("a.example/book/")));
    expect_that!(name("b.example", "/book/1"), ok(eq("b.example/book/")));
    expect_that!(
        name("b.example", "/pay/"),
        err(eq(routes::NotFound::Undecoded))
    );
    verify_that!(name("c.example", "/"), err(eq(routes::NotFound::Unknown)))
}

// Guards against 401 for a key of an account that could not be decoded.
#[gtest]
fn key_of_an_undecoded_account_is_not_unknown() -> Result<()> {
    let listed = table().with_undecoded(routes::Undecoded {
        keys: ["key-8".to_owned()].into(),
        ..routes::Undecoded::default()
    });
    let any = table().with_undecoded(routes::Undecoded {
        has_unknown_keys: true,
        ..routes::Undecoded::default()
    });
    let reason = |table: &routes::Routes, key: &str| table.account(key).cloned().err();

    expect_that!(reason(&listed, "key-1"), none());
    expect_that!(
        reason(&listed, "key-8"),
        some(eq(routes::NotFound::Undecoded))
    );
    expect_that!(
        reason(&listed, "key-9"),
        some(eq(routes::NotFound::Unknown))
    );
    expect_that!(reason(&any, "key-1"), none());
    verify_that!(reason(&any, "key-9"), some(eq(routes::NotFound::Undecoded)))
}

// Guards against priorities of one service that change how requests to another one count.
#[gtest]
fn urgency_compares_the_routes_of_one_service() -> Result<()> {
    let ranked = |prefix: &str, service: &str, priority: u8| routes::Route {
        priority,
        ..route("a.example", prefix, one(service), true)
    };
    let first = ranked("/first/", "drafts", 0);
    let last = ranked("/last/", "drafts", 2);
    let other = ranked("/other/", "books", 0);
    let all = vec![first.clone(), last.clone(), other.clone()];
    let table = routes::Routes::new(1, all, Vec::new(), None, None);

    expect_that!(table.urgency(&first, "drafts"), gt(1.0));
    expect_that!(table.urgency(&last, "drafts"), eq(1.0));
    verify_that!(table.urgency(&other, "books"), eq(1.0))
}

//! Settings of a forwarding entry.

use std::time;

use googletest::prelude::*;
use mustardshed_config::forwarding;

/// Returns settings with these lines added.
fn settings(lines: &str) -> String {
    format!(
        r#"vm = "entry-1"
data_centre = "north"
front = "127.0.0.1:8001"
ready = "127.0.0.1:8002"
directory = "127.0.0.1:8003"
peers = "127.0.0.1:8004"
platform = "127.0.0.1:8005"
{lines}

[bounds]
fail_closed = true
application_ms = 2000
revocation_ms = 5000
retry_ratio = 0.2
retry_allowance = 100.0
retry_window_s = 10.0
grace_s = 8.0
memory_release_ms = 4000
memory_idle_ms = 9000
"#
    )
}

#[gtest]
fn memory_is_optional_and_in_megabytes() -> Result<()> {
    let without = forwarding::parse(&settings("")).expect("valid settings");
    let with = forwarding::parse(&settings("memory_mb = 160")).expect("valid settings");

    expect_that!(without.memory, none());
    verify_that!(with.memory, some(eq(160_000_000)))
}

#[gtest]
fn memory_out_of_range_is_an_error_that_names_the_key() -> Result<()> {
    for value in ["0", "63", "-1", "160.5", "1048577", "\"160\""] {
        let problems = forwarding::parse(&settings(&format!("memory_mb = {value}")));

        let problems = problems.err().unwrap_or_default();
        let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
        expect_that!(
            text,
            elements_are![contains_substring("memory_mb")],
            "{value}"
        );
    }
    Ok(())
}

#[gtest]
fn descriptors_are_optional_and_limited() -> Result<()> {
    let descriptors = |lines: &str| {
        let parsed = forwarding::parse(&settings(lines));
        parsed.map(|settings| settings.max_descriptors)
    };

    expect_that!(descriptors(""), ok(none()));
    expect_that!(descriptors("max_descriptors = 4100"), ok(some(eq(&4_100))));
    for value in ["0", "63", "-1", "\"4100\"", "1073741825"] {
        let problems = descriptors(&format!("max_descriptors = {value}"));

        let problems = problems.err().unwrap_or_default();
        let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
        expect_that!(
            text,
            elements_are![contains_substring("max_descriptors")],
            "{value}"
        );
    }
    Ok(())
}

#[gtest]
fn receive_buffer_has_a_default_and_limits() -> Result<()> {
    let receive_buffer = |lines: &str| {
        let source = format!("{}\n[clients]\n{lines}", settings(""));
        forwarding::parse(&source).map(|settings| settings.clients.receive_buffer_bytes)
    };

    expect_that!(receive_buffer(""), ok(eq(&24_576)));
    expect_that!(
        receive_buffer("receive_buffer_bytes = 65536"),
        ok(eq(&65_536))
    );
    for value in ["4095", "4194305", "-1", "\"1\""] {
        let problems = receive_buffer(&format!("receive_buffer_bytes = {value}"));
        let problems = problems.expect_err("a problem");
        let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
        expect_that!(
            text,
            elements_are![contains_substring("receive_buffer_bytes")]
        );
    }
    Ok(())
}

#[gtest]
fn fair_shares_are_off_unless_set() -> Result<()> {
    let with = |lines: &str| {
        let source = format!("{}\n[accounts]\n{lines}", settings(""));
        forwarding::parse(&source).map(|settings| settings.accounts.fair_shares)
    };
    let without = forwarding::parse(&settings("")).expect("valid settings");

    expect_that!(without.accounts.fair_shares, is_false());
    expect_that!(with(""), ok(is_false()));
    expect_that!(with("fair_shares = true"), ok(is_true()));
    for invalid in ["fair_shares = 1", "fair_share = true"] {
        let problems = with(invalid).expect_err("a problem");
        let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
        expect_that!(text, elements_are![contains_substring("fair_share")]);
    }
    Ok(())
}

#[gtest]
fn read_ahead_is_off_by_default_and_limited() -> Result<()> {
    let read_ahead = |lines: &str| forwarding::parse(&settings(lines));

    expect_that!(read_ahead("").expect("valid").read_ahead_bytes, eq(0));
    let most = read_ahead("read_ahead_bytes = 1048576").expect("valid");
    expect_that!(most.read_ahead_bytes, eq(1_048_576));
    let problems = read_ahead("read_ahead_bytes = 1048577").err();
    let text: Vec<String> = problems.iter().flatten().map(ToString::to_string).collect();
    verify_that!(text, elements_are![contains_substring("read_ahead_bytes")])
}

/// Returns settings with these lines in the table of hedged requests.
fn with_hedging(lines: &str) -> String {
    format!("{}\n[hedging]\n{lines}\n", settings(""))
}

#[gtest]
fn hedging_is_off_without_its_table() -> Result<()> {
    let without = forwarding::parse(&settings("")).expect("valid settings");
    let with = forwarding::parse(&with_hedging("max_share = 0.2")).expect("valid settings");

    expect_that!(without.hedging, none());
    verify_that!(
        with.hedging,
        some(eq(forwarding::Hedging {
            max_share: 0.2,
            min_delay: time::Duration::from_millis(50),
        }))
    )
}

#[gtest]
fn invalid_limits_of_hedging_are_errors_that_name_the_key() -> Result<()> {
    let cases = [
        ("max_share = 0", "hedging.max_share"),
        ("max_share = 0.21", "hedging.max_share"),
        ("max_share = -0.1", "hedging.max_share"),
        ("min_delay_ms = 20", "hedging.max_share"),
        ("max_share = 0.1\nmin_delay_ms = 0", "hedging.min_delay_ms"),
        ("max_share = 0.1\nshare = 1", "hedging.share"),
    ];
    for (lines, key) in cases {
        let problems = forwarding::parse(&with_hedging(lines));

        let problems = problems.err().unwrap_or_default();
        let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
        expect_that!(text, elements_are![contains_substring(key)], "{lines}");
    }
    Ok(())
}

/// Returns settings with a table `[clients]` of these lines.
fn with_clients(lines: &str) -> String {
    format!("{}\n[clients]\n{lines}\n", settings(""))
}

#[gtest]
fn limits_on_clients_are_optional() -> Result<()> {
    let without = forwarding::parse(&settings("")).expect("valid settings");
    let empty = forwarding::parse(&with_clients("")).expect("valid settings");
    let lines = "max_connections = 100\nmax_incomplete = 100\nhead_timeout_ms = 2500";
    let with = forwarding::parse(&with_clients(lines)).expect("valid settings");

    expect_that!(without.clients, eq(forwarding::Clients::default()));
    expect_that!(empty.clients, eq(forwarding::Clients::default()));
    let expected = forwarding::Clients {
        max_connections: Some(100),
        max_incomplete: Some(100),
        head_timeout: Some(time::Duration::from_millis(2_500)),
        ..forwarding::Clients::default()
    };
    verify_that!(with.clients, eq(expected))
}

// Guards against settings whose limits contradict each other, or that close every connection.
#[gtest]
fn wrong_limits_on_clients_are_errors_that_name_the_key() -> Result<()> {
    for (lines, key) in [
        ("max_connections = 0", "max_connections"),
        ("max_connections = 9\nmax_incomplete = 10", "max_incomplete"),
        (
            "max_connections = 9\nmax_per_address = 10",
            "max_per_address",
        ),
        ("min_bytes_per_s = 0", "min_bytes_per_s"),
        ("body_timeout_ms = 3600001", "body_timeout_ms"),
        ("connections = 1", "connections"),
    ] {
        let problems = forwarding::parse(&with_clients(lines));

        let problems = problems.err().unwrap_or_default();
        let text: Vec<String> = problems.iter().map(ToString::to_string).collect();
        expect_that!(text, elements_are![contains_substring(key)], "{lines}");
    }
    Ok(())
}

//! Settings of the entry daemon.

use std::time;

use googletest::prelude::*;
use mustardshed_config::settings;
use proptest::prelude::*;

const VALID: &str = r#"
vm = "entry-1"
data_centre = "oak"
listen = "127.0.0.1:8001"
peer_listen = "127.0.0.1:9001"
platform = "http://127.0.0.1:7000/"
peer_key_file = "peer.key"
operator_key_file = "operator.key"
"#;

fn shown(source: &str) -> Vec<String> {
    let problems = settings::parse(source).err().unwrap_or_default();
    problems.iter().map(ToString::to_string).collect()
}

#[googletest::test]
fn missing_keys_get_defaults() {
    let settings = settings::parse(VALID).expect("valid settings");

    expect_that!(settings.advertise, eq(settings.listen));
    expect_that!(settings.advertise_peer, eq(settings.peer_listen));
    expect_that!(settings.platform, eq("http://127.0.0.1:7000"));
    expect_that!(settings.log_level, eq(settings::LogLevel::Info));
    expect_that!(settings.metrics, none());
    expect_that!(settings.limits, eq(settings::Limits::default()));
}

#[googletest::test]
fn limits_are_read() {
    let source = format!("{VALID}[limits]\nidle_timeout_ms = 700\nmax_in_flight = 3\n");

    let limits = settings::parse(&source).expect("valid settings").limits;

    expect_that!(limits.idle_timeout, eq(time::Duration::from_millis(700)));
    expect_that!(limits.max_in_flight, eq(3));
    expect_that!(limits.max_connections, eq(4096));
}

#[googletest::test]
fn all_problems_are_reported_at_once() {
    let source = VALID
        .replace("127.0.0.1:8001", "localhost:8001")
        .replace("http://127.0.0.1:7000/", "https://127.0.0.1:7000")
        .replace("vm = \"entry-1\"\n", "")
        .replace("127.0.0.1:9001", "0.0.0.0:9001")
        + "[limits]\nmax_header_bytes = 100\nmax_heads = 2\n";

    expect_that!(
        shown(&source),
        elements_are![
            eq("line 1: vm: this key is missing"),
            eq("line 3: listen = \"localhost:8001\": \
                must be an IP address and a port, such as `10.0.0.7:8080`"),
            eq("line 4: peer_listen = \"0.0.0.0:9001\": \
                must name an address and a port that others can connect to"),
            eq("line 5: platform = \"https://127.0.0.1:7000\": must be `http://IP:PORT`"),
            eq("line 9: limits.max_header_bytes = 100: must be from 8192 to 1048576"),
            eq(
                "line 10: limits.max_heads = 2: no such key here; known keys are max_connections, \
                max_body_bytes, max_header_bytes, idle_timeout_ms, header_timeout_ms, \
                max_in_flight, traffic_threads"
            ),
        ]
    );
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..Default::default()
    })]

    #[test]
    fn parsing_never_panics(source in "\\PC*") {
        let _ = settings::parse(&source);
    }
}

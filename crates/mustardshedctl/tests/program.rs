//! Exit statuses and output of the program.

use std::{fs, net, path, process};

use googletest::prelude::*;
use mustardshed_standins::platform;

const KEY: &str = "operators-own-key";
const TEXT: &str = "[[data_centre]]\nname = 'oak'\nregion = 'south'\n";
const INVALID: &str = "\
[[data_centre]]
name = 'oak'
regoin = 'south'

[[engine_kind]]
name = 'ledger'
memory_tokens = 'much'
max_running = 4
cold_limit = 5
warm_after = 1
prefill_tokens_per_second = 1000
fencing = 'perhaps'
";

/// Runs the program and returns its exit status, standard output and standard error.
fn run(args: &[&str]) -> (i32, String, String) {
    let program = env!("CARGO_BIN_EXE_mustardshedctl");
    let output = process::Command::new(program).args(args).output();
    output.map_or((-1, String::new(), String::new()), |output| {
        (
            output.status.code().unwrap_or(-1),
            String::from_utf8_lossy(&output.stdout).into_owned(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    })
}

fn file(name: &str, content: &str) -> String {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::write(&path, content);
    path.display().to_string()
}

#[googletest::test]
fn check_prints_every_problem_on_a_line_and_exits_with_2() {
    let file = file("mistaken.toml", INVALID);

    let (code, out, err) = run(&["check", &file]);

    expect_that!(code, eq(2));
    expect_that!(
        out.lines().collect::<Vec<_>>(),
        elements_are![
            eq(&"line 1: data_centre[0].region: this key is missing"),
            starts_with("line 3: data_centre[0].regoin = 'south': no such key here"),
            eq(&"line 7: engine_kind[0].memory_tokens = 'much': must be an integer"),
            starts_with("line 9: engine_kind[0].cold_limit = 5: must not be greater"),
            starts_with("line 12: engine_kind[0].fencing = 'perhaps': must be one of"),
        ]
    );
    expect_that!(err, starts_with("5 problem(s)"));
}

#[googletest::test]
fn check_prints_the_same_as_json() {
    let file = file("mistaken-json.toml", INVALID);

    let (code, out, _) = run(&["--json", "check", &file]);

    let json: serde_json::Value = serde_json::from_str(&out).unwrap_or_default();
    expect_that!(code, eq(2));
    expect_that!(json["valid"], eq(&serde_json::json!(false)));
    expect_that!(json["problems"].as_array().map(Vec::len), some(eq(5)));
    expect_that!(
        json["problems"][2]["key"],
        eq(&serde_json::json!("engine_kind[0].memory_tokens"))
    );
}

#[googletest::test]
fn help_exits_with_0_and_an_unknown_flag_with_2() {
    let help = run(&["--help"]);
    let unknown = run(&["--verbose"]);

    expect_that!(help.0, eq(0));
    expect_that!(help.1, contains_substring("EXIT STATUS"));
    expect_that!(unknown.0, eq(2));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_statuses_show_the_result_of_a_change() -> Result<()> {
    let loopback = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let server = platform::bind(loopback).await.or_fail()?;
    let url = server.url();
    let server = tokio::spawn(server.run());
    let key = file("operator.key", KEY);
    let text = file("text.toml", TEXT);

    let outcomes = tokio::task::spawn_blocking(move || {
        let call = |args: &[&str]| {
            run(&[&["--platform", &url, "--operator-key-file", &key], args].concat())
        };
        [
            call(&["get"]),
            call(&["apply", &text, "--wait"]),
            call(&["apply", &text, "--expect", "0"]),
            call(&["data-centre", "out", "oak"]),
            call(&["data-centre", "out", "ash"]),
            call(&["get"]),
            call(&["history"]),
            call(&["status"]),
            run(&["--platform", &url, "apply", &text]),
            run(&["--platform", "http://127.0.0.1:1", "get"]),
        ]
    });
    let outcomes = outcomes.await.or_fail()?;
    server.abort();

    let codes = outcomes.each_ref().map(|outcome| outcome.0);
    expect_that!(codes, eq([1, 0, 3, 0, 2, 0, 0, 1, 2, 1]));
    expect_that!(outcomes[2].2, contains_substring("generation 1 by "));
    expect_that!(outcomes[5].1, eq(TEXT));
    expect_that!(
        outcomes[6].1,
        contains_substring("~ data_centre oak: in -> out")
    );
    let printed = outcomes.iter().flat_map(|(_, out, err)| [out, err]);
    expect_that!(
        printed.collect::<Vec<_>>(),
        each(not(contains_substring(KEY)))
    );
    Ok(())
}

const FORWARDING: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/forwarding.json"
);

#[googletest::test]
fn check_forwarding_accepts_the_example_and_shows_what_differs() -> Result<()> {
    let text = fs::read_to_string(FORWARDING).or_fail()?;
    let newer = text.replace("\"version\": 7", "\"version\": 8");
    let newer = newer.replace("example-key-of-mill", "another-key");
    let newer = file("newer.json", &newer);

    let alone = run(&["check-forwarding", FORWARDING]);
    let changed = run(&["check-forwarding", &newer, "--against", FORWARDING]);
    let older = run(&[
        "--json",
        "check-forwarding",
        FORWARDING,
        "--against",
        &newer,
    ]);

    expect_that!((alone.0, alone.1.as_str()), eq((0, "no problems\n")));
    expect_that!((changed.0, older.0), eq((0, 2)));
    expect_that!(
        changed.1,
        contains_substring("changed  account mill  keys: 1 added, 1 removed")
    );
    expect_that!(changed.1, not(contains_substring("key-of")));
    verify_that!(
        older.1,
        contains_substring("the version is not higher than 8, which is in force")
    )
}

// Guards against parts that cannot be decoded, which entries leave out, and against keys in what is
// printed of them.
#[googletest::test]
fn check_forwarding_reports_what_cannot_be_decoded_and_what_has_no_effect() -> Result<()> {
    let text = fs::read_to_string(FORWARDING).or_fail()?;
    let text = text.replacen("\"max_attempts\": 2", "\"max_attempts\": 0", 1);
    let text = text.replace("\"cold_per_s\": 2", "\"cold_per_s\": 0");
    let text = text.replace("\"name\": \"mill\"", "\"name\": 5");
    let undecoded = file("undecoded.json", &text);
    let broken = file(
        "broken.json",
        "{\"version\": 1, \"tenants\": \"example-key-of-mill\"}",
    );

    let (code, out, _) = run(&["check-forwarding", &undecoded]);
    let whole = run(&["check-forwarding", &broken]);

    expect_that!((code, whole.0), eq((2, 2)));
    expect_that!(out, contains_substring("account 1"));
    expect_that!(
        out,
        contains_substring("route chat      the maximum number of attempts is 0")
    );
    expect_that!(
        out,
        contains_substring("service drafts  its servers have a cold start time")
    );
    expect_that!(
        whole.1,
        contains_substring("not the expected JSON at line 1")
    );
    verify_that!(out + &whole.1, not(contains_substring("key-of")))
}

//! Configurations that are accepted, and every way in which one is rejected.

use std::time;

use googletest::prelude::*;
use mustardshed_config::{problem, text};
use proptest::prelude::*;

const DIGEST: &str = "b94d27b9934d3e08a52e52d7da7dabfac484efe37a5380ee9088f7ace2efcde9";

fn valid() -> String {
    format!(
        r#"
[[data_centre]]
name = "oak"
region = "south"

[[engine_kind]]
name = "ledger"
memory_tokens = 400_000
max_running = 64
cold_limit = 2
warm_after = 8
prefill_tokens_per_second = 20_000
fencing = "checked"

[[model]]
name = "hymnal-70b"
engine_kind = "ledger"
version = "3"
context_tokens = 1_100_000

[[service]]
name = "collation"
model = "hymnal-70b"
depends_on = ["deposits"]

[[service]]
name = "deposits"
plain = {{ non_repeatable = ["POST /charge"], max_running = 32, cold_limit = 2 }}
default_deadline_ms = 5000

[[client_account]]
name = "st-anne"
key_sha256 = ["{DIGEST}"]
services = ["collation"]
"#
    )
}

fn shown(source: &str) -> Vec<String> {
    let problems = text::parse(source).err().unwrap_or_default();
    problems.iter().map(ToString::to_string).collect()
}

fn reasons(source: &str) -> Vec<problem::Reason> {
    let problems = text::parse(source).err().unwrap_or_default();
    problems.into_iter().map(|problem| problem.reason).collect()
}

#[googletest::test]
fn accepts_a_whole_text_with_defaults() {
    let text = text::parse(&valid()).expect("valid text");

    let service = &text.services["collation"];
    expect_that!(service.default_deadline, eq(time::Duration::from_secs(30)));
    expect_that!(service.max_deadline, eq(time::Duration::from_secs(600)));
    expect_that!(service.retry_percent, eq(10));
    expect_that!(text.models["hymnal-70b"].bytes_per_token, eq(4));
    expect_that!(text.client_accounts["st-anne"].weight, eq(1));
    expect_that!(text.client_accounts["st-anne"].max_running, eq(64));
    expect_that!(
        hex::encode(text.client_accounts["st-anne"].key_digests[0]),
        eq(DIGEST)
    );
    expect_that!(
        text.engine_kinds["ledger"].fencing,
        eq(text::Fencing::Checked)
    );
}

#[googletest::test]
fn an_empty_text_is_accepted() {
    expect_that!(text::parse(""), ok(eq(&text::Text::default())));
}

#[googletest::test]
fn five_mistakes_give_five_problems_with_line_key_value_and_reason() {
    let source = valid()
        .replace(
            "region = \"south\"",
            "regoin = \"south\"\nregion = \"south\"",
        )
        .replace("memory_tokens = 400_000", "memory_tokens = \"much\"")
        .replace("cold_limit = 2\nwarm", "cold_limit = 65\nwarm")
        .replace("[\"deposits\"]", "[\"deposit\"]")
        .replace("\"POST /charge\"", "\"charge\"");

    let problems = shown(&source);

    expect_that!(
        problems,
        elements_are![
            eq(
                "line 4: data_centre[0].regoin = \"south\": no such key here; \
                known keys are name, region"
            ),
            eq("line 9: engine_kind[0].memory_tokens = \"much\": must be an integer"),
            eq("line 11: engine_kind[0].cold_limit = 65: \
                must not be greater than max_running, which is 64"),
            eq("line 25: service[0].depends_on[0] = \"deposit\": \
                there is no service of this name in this configuration"),
            eq("line 29: service[1].plain.non_repeatable[0] = \"charge\": \
                must be a method and a path, such as `POST /charge`"),
        ]
    );
}

#[googletest::test]
fn cycles_are_named_once_each() {
    let source = r#"
service = [
  { name = "a", model = "m", depends_on = ["b"] },
  { name = "b", model = "m", depends_on = ["c"] },
  { name = "c", model = "m", depends_on = ["a"] },
  { name = "d", model = "m", depends_on = ["d", "a"] },
]
"#;

    let cycles: Vec<String> = reasons(source)
        .into_iter()
        .filter_map(|reason| match reason {
            problem::Reason::Cycle { cycle } => Some(cycle),
            _ => None,
        })
        .collect();

    expect_that!(cycles, elements_are![eq("a -> b -> c -> a"), eq("d -> d")]);
}

#[googletest::test]
fn a_problem_in_a_table_hides_none_between_tables() {
    let source = valid()
        .replace(
            "default_deadline_ms = 5000",
            "default_deadline_ms = 'x'\ndepends_on = ['collation']",
        )
        .replace("version = \"3\"", "version = 3")
        .replace("1_100_000", "3_200_001")
        .replace(
            "services = [\"collation\"]",
            "services = [1, \"none\"]\nweight = 0",
        );

    expect_that!(
        shown(&source),
        elements_are![
            contains_substring("model[0].version = 3: must be a string"),
            contains_substring("model[0].context_tokens = 3_200_001: needs 9 engines"),
            contains_substring("service[1].default_deadline_ms = 'x': must be an integer"),
            contains_substring("cycle: collation -> deposits -> collation"),
            contains_substring("client_account[0].services[0] = 1: must be a string"),
            contains_substring("client_account[0].services[1] = \"none\": there is no service"),
            contains_substring("client_account[0].weight = 0: must be from 1 to 1000"),
        ]
    );
}

#[googletest::test]
fn a_chain_of_thousands_of_services_is_no_cycle() {
    let mut source = String::new();
    for i in 0..5000 {
        source += &format!("[[service]]\nname='s{i}'\nplain={{max_running=1,cold_limit=1}}\n");
        if i > 0 {
            source += &format!("depends_on=['s{}']\n", i - 1);
        }
    }

    expect_that!(text::parse(&source), ok(anything()));
}

#[googletest::test]
fn names_and_keys_used_twice_are_refused_with_the_line_of_the_first_use() {
    let account = format!("[[client_account]]\nname = \"st-anne\"\nkey_sha256 = [\"{DIGEST}\"]\n");

    let problems = shown(&(valid() + &account));

    expect_that!(
        problems,
        elements_are![
            eq("line 36: client_account[1].name = \"st-anne\": is already used on line 32"),
            eq(
                "line 37: client_account[1].key_sha256[0] = \"b94d27b9...\": \
                is already used on line 33"
            ),
        ]
    );
}

#[googletest::test]
fn impossible_limits_are_refused() {
    let cold = reasons(&valid().replace("cold_limit = 2\nwarm", "cold_limit = 0\nwarm"));
    let deadline = reasons(&valid().replace("deadline_ms = 5000", "deadline_ms = 600001"));
    let context = reasons(&valid().replace("1_100_000", "3_200_001"));

    expect_that!(
        cold,
        elements_are![matches_pattern!(problem::Reason::OutOfRange { .. })]
    );
    expect_that!(
        deadline,
        elements_are![matches_pattern!(problem::Reason::Above { .. })]
    );
    expect_that!(
        context,
        elements_are![eq(&problem::Reason::NotServable {
            needed: 9,
            kind: "ledger".to_owned(),
            greatest: 8
        })]
    );
}

#[googletest::test]
fn a_pasted_key_is_not_shown() {
    let account = "{ name = \"st-anne\", key_sha256 = [\"sk-very-secret\"] }";
    let sources = [
        valid().replace(DIGEST, "sk-very-secret"),
        valid().replace(&format!("[\"{DIGEST}\"]"), "sk-very-secret"),
        valid().replace(&format!("[\"{DIGEST}\"]"), "\"sk-very-secret\""),
        valid().replace("services = [\"collation\"]", "key = \"sk-very-secret\""),
        valid().replace("services = [\"collation\"]", "token = \"sk-very-secret\""),
        format!("client_account = {account}"),
        format!("data_centre = [{account}]"),
    ];

    for source in sources {
        let problems = shown(&source);

        expect_that!(problems, not(is_empty()), "{source}");
        expect_that!(problems, each(not(contains_substring("very-secret"))));
    }
}

#[googletest::test]
fn a_text_that_is_not_toml_or_too_long_is_refused_by_line() {
    let syntax = shown("[[service]]\nname = \n");
    let long = reasons(&"#".repeat(text::MAX_TEXT_BYTES + 1));

    expect_that!(syntax, elements_are![starts_with("line 2: ")]);
    expect_that!(
        long,
        elements_are![matches_pattern!(problem::Reason::TooLong { .. })]
    );
}

#[googletest::test]
fn single_tables_and_plain_values_in_place_of_arrays_are_refused() {
    let problems = shown("model = [1, 'x']\n[service]\nname = 'a'\n");

    expect_that!(
        problems,
        elements_are![
            eq("line 1: model[0] = 1: must be a table"),
            eq("line 1: model[1] = 'x': must be a table"),
            eq(
                "line 2: service = [service]: must be an array of tables, written in double brackets"
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
        let _ = text::parse(&source);
    }

    #[test]
    fn changed_texts_never_panic_and_name_a_line_of_the_text(
        at in 0_usize..800,
        len in 0_usize..40,
        new in "[\\[\\]{}=\"'\n a-z0-9_.,#-]{0,20}",
    ) {
        let mut source = valid();
        let at = at.min(source.len());
        let end = (at + len).min(source.len());
        source.replace_range(at..end, &new);

        let lines = source.split('\n').count();
        for problem in text::parse(&source).err().unwrap_or_default() {
            prop_assert!((1..=lines).contains(&problem.line), "{problem}");
        }
    }
}

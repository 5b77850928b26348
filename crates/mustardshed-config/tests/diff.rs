//! Differences between two configurations.

use googletest::prelude::*;
use mustardshed_config::{diff, problem, text};

fn shown(before: &str, after: &str) -> std::result::Result<Vec<String>, Vec<problem::Problem>> {
    let changes = diff::between(&text::parse(before)?, &text::parse(after)?);
    Ok(changes.iter().map(ToString::to_string).collect())
}

const DEPOSITS: &str =
    "[[service]]\nname = 'deposits'\nplain = { max_running = 3, cold_limit = 1 }\n";
const OAK: &str = "[[data_centre]]\nname = 'oak'\nregion = 'south'\n";

#[googletest::test]
fn equal_texts_have_no_differences() {
    expect_that!(shown(OAK, &format!("# the same\n{OAK}")), ok(is_empty()));
}

#[googletest::test]
fn added_removed_and_changed_tables_are_listed() {
    let before = format!("{OAK}{DEPOSITS}");
    let elm = OAK.replace("oak", "elm");
    let after = format!(
        "{elm}{}",
        DEPOSITS.replace("max_running = 3", "max_running = 4")
    );

    expect_that!(
        shown(&before, &after),
        ok(elements_are![
            eq("+ data_centre elm: region = \"south\""),
            eq("- data_centre oak"),
            eq("~ service deposits: plain.max_running = 3 -> 4"),
        ])
    );
}

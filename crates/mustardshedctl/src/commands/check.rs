//! `check`: validates a configuration text.

use mustardshed::config::{problem, text};

use crate::{commands, exit, output};

/// Lists the problems of a configuration text.
///
/// # Errors
///
/// Never fails; an invalid text is reported in the output.
pub fn run(source: &str) -> commands::Result {
    let problems = text::parse(source).err().unwrap_or_default();
    let json = serde_json::json!({
        "valid": problems.is_empty(),
        "problems": problems.iter().map(problem_json).collect::<Vec<_>>(),
    });
    if problems.is_empty() {
        return Ok(output::Output::done(
            "the configuration text is valid".to_owned(),
            json,
        ));
    }
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let count = format!(
        "{} problem(s); the configuration text is not valid",
        problems.len()
    );
    let output = output::Output::done(lines.join("\n"), json).note(count);
    Ok(output.status(exit::ExitStatus::Invalid))
}

fn problem_json(problem: &problem::Problem) -> serde_json::Value {
    serde_json::json!({
        "line": problem.line,
        "key": problem.key,
        "value": problem.value,
        "reason": problem.reason.to_string(),
    })
}

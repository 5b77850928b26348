//! `check-forwarding`: checks the configuration of forwarding entries before it is sent.

use mustardshed::{
    core::forward::routes::{self, diff, lint},
    platform::decode::{self, configuration},
};

use crate::{commands, commands::table, exit, failure, output};

/// Lists the problems of a configuration, and what it changes in the one `against`.
///
/// # Errors
///
/// Returns an error if the configuration `against` cannot be decoded.
pub fn run(source: &str, against: Option<&str>) -> commands::Result {
    let in_force = against.map(configuration::decode_parts).transpose();
    let in_force = in_force.map_err(|e| {
        let reason = decode_problem(&e);
        failure::Failure::Usage(format!("the configuration to compare with: {reason}"))
    })?;
    let (findings, changes) = match configuration::decode_parts(source) {
        Ok(parts) => compare(&parts, in_force.as_ref()),
        Err(e) => (vec![undecodable(&e)], None),
    };
    Ok(output(&findings, changes.as_deref()))
}

fn compare(
    parts: &routes::Parts,
    in_force: Option<&routes::Parts>,
) -> (Vec<lint::Finding>, Option<Vec<diff::Change>>) {
    let mut findings = lint::lint(parts);
    findings.extend(in_force.and_then(|in_force| lint::lint_version(parts, in_force)));
    (
        findings,
        in_force.map(|in_force| diff::diff(in_force, parts)),
    )
}

fn undecodable(e: &decode::DecodeError) -> lint::Finding {
    lint::Finding {
        severity: lint::Severity::Error,
        subject: "configuration".to_owned(),
        problem: lint::Problem::Undecoded(decode_problem(e)),
    }
}

/// Returns where a text cannot be decoded, without what is there: it might be a key.
fn decode_problem(e: &decode::DecodeError) -> String {
    match e {
        decode::DecodeError::Json(e) => {
            format!(
                "not the expected JSON at line {} column {}",
                e.line(),
                e.column()
            )
        }
        decode::DecodeError::Value(reason) => (*reason).to_owned(),
    }
}

fn output(findings: &[lint::Finding], changes: Option<&[diff::Change]>) -> output::Output {
    let is_error = |finding: &&lint::Finding| finding.severity == lint::Severity::Error;
    let errors = findings.iter().filter(is_error).count();
    let mut text = findings_text(findings);
    if let Some(changes) = changes {
        text.push_str(&changes_text(changes));
    }
    let json = serde_json::json!({
        "valid": errors == 0,
        "findings": findings.iter().map(finding_json).collect::<Vec<_>>(),
        "changes": changes.map(|changes| changes.iter().map(change_json).collect::<Vec<_>>()),
    });
    let warnings = findings.len() - errors;
    let note = format!("{errors} error(s), {warnings} warning(s)");
    let output = output::Output::done(text, json).note(note);
    if errors > 0 {
        return output.status(exit::ExitStatus::Invalid);
    }
    output
}

fn findings_text(findings: &[lint::Finding]) -> String {
    if findings.is_empty() {
        return "no problems\n".to_owned();
    }
    let mut table = table::Table::new(&["severity", "part", "problem"]);
    for finding in findings {
        let severity = finding.severity.to_string();
        table.push(&[&severity, &finding.subject, &finding.problem.to_string()]);
    }
    table.to_string()
}

fn changes_text(changes: &[diff::Change]) -> String {
    if changes.is_empty() {
        return "no differences\n".to_owned();
    }
    let mut table = table::Table::new(&["change", "part", "details"]);
    for change in changes {
        let kind = change.kind.to_string();
        table.push(&[&kind, &change.subject, &change.details.join("; ")]);
    }
    format!("\n{table}")
}

fn finding_json(finding: &lint::Finding) -> serde_json::Value {
    serde_json::json!({
        "severity": finding.severity.to_string(),
        "part": finding.subject,
        "problem": finding.problem.to_string(),
    })
}

fn change_json(change: &diff::Change) -> serde_json::Value {
    serde_json::json!({
        "change": change.kind.to_string(),
        "part": change.subject,
        "details": change.details,
    })
}

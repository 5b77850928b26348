//! Reads a TOML document and collects all of its problems.

pub(crate) mod field;
pub(crate) mod item;
pub(crate) mod read;
pub(crate) mod report;
pub(crate) mod section;

use toml::de;

use crate::problem;

/// Parses `source` and returns what `read` makes of its root table.
///
/// # Errors
///
/// Returns the problems that `read` reported. A source that is not TOML, or longer than `limit`
/// bytes, is not passed to `read`.
pub(crate) fn document<T>(
    source: &str,
    limit: usize,
    read: impl FnOnce(&report::Report<'_>, &section::Section<'_, '_>) -> Option<T>,
) -> Result<T, Vec<problem::Problem>> {
    let report = report::Report::new(source);
    if source.len() > limit {
        report.add("", problem::Reason::TooLong { limit });
        return Err(report.into_problems());
    }
    let (root, errors) = de::DeTable::parse_recoverable(source);
    for err in &errors {
        report.add_syntax(err);
    }
    if !errors.is_empty() {
        return Err(report.into_problems());
    }
    let value = read(&report, &section::Section::root(&report, root.get_ref()));
    let problems = report.into_problems();
    match value {
        Some(value) if problems.is_empty() => Ok(value),
        _ => Err(problems),
    }
}

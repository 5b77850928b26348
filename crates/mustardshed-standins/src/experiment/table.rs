//! Formats runs as a Markdown table.

use super::Done;

/// Maximum length of a short prompt, in tokens.
pub const SHORT_TOKENS: u64 = 8_000;

/// Returns the head of the table.
pub fn head() -> String {
    "| scenario | policy | seed | sent | completed | not run | other | first token p50/p95/p99 \
     ms, up to 2,000 | up to 4,000 | up to 8,000 | up to 1,000,000 | between tokens p95 ms | \
     refusal p99 ms | long done | fell over |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_owned()
}

/// Returns the row of a run.
pub fn line(done: &Done) -> String {
    let report = &done.report;
    let Some(via) = report.via.get("entry") else {
        return String::new();
    };
    let sent: u64 = via.outcomes.values().sum();
    let count = |word: &str| -> u64 {
        let named = via.outcomes.iter().filter(|(name, _)| name.contains(word));
        named.map(|(_, count)| count).sum()
    };
    let (completed, not_run) = (count("completed"), count("not_run"));
    let first_token = |tokens: u64| {
        via.first_token.get(&tokens).map_or("-".to_owned(), |q| {
            format!("{:.0}/{:.0}/{:.0}", q.p50_ms, q.p95_ms, q.p99_ms)
        })
    };
    format!(
        "| {} | {} | {} | {sent} | {completed} | {not_run} | {} | {} | {} | {} | {} | {:.0} | {:.0} \
         | {}/{} | {} |\n",
        done.run.scenario,
        done.run.routing,
        done.run.seed,
        sent - completed - not_run,
        first_token(2_000),
        first_token(4_000),
        first_token(SHORT_TOKENS),
        first_token(1_000_000),
        via.between_tokens.p95_ms,
        via.refusals.p99_ms,
        report.long_completed,
        report.long_sent,
        done.fell_over,
    )
}

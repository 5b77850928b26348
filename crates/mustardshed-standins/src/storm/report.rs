//! Results of a storm.

use std::{collections, fmt, time};

use super::{evidence, records, verdict};

type Counts = collections::BTreeMap<String, u64>;

/// Results of a storm.
#[derive(Clone, Debug)]
pub struct Report {
    /// Results of the checks, by promise.
    pub verdicts: Vec<verdict::Verdict>,
    /// Platform calls during the storm.
    pub storm_calls: records::CallCounts,
    /// Platform calls during the rest period.
    pub rest_calls: records::CallCounts,
    /// Length of the rest period without load.
    pub rest: time::Duration,
    /// Time from the start of the storm to the end of the last call.
    pub storm: time::Duration,
    /// Results of the operators' commands.
    pub operators: Vec<String>,
    /// Faults that could not be injected, with the reason.
    pub failures: Vec<String>,
    /// Input of the checks.
    pub evidence: evidence::Evidence,
}

impl Report {
    /// Returns whether every promise held.
    pub fn is_ok(&self) -> bool {
        self.verdicts.iter().all(verdict::Verdict::is_ok)
    }

    fn faults(&self) -> Counts {
        let spans = self.evidence.spans.iter();
        count(spans.map(|span| format!("{:?}", span.kind)))
    }

    fn outcomes(&self) -> Counts {
        let completions = self.evidence.completions.iter().flat_map(|completion| {
            let sort = completion.sort;
            let attempts = completion.attempts.iter();
            attempts.map(move |attempt| format!("{sort:?} {}", attempt.outcome.name()))
        });
        let charges = self.evidence.charges.iter().flat_map(|charge| {
            let first = charge.attempts.iter().map(|a| ("Charge", a));
            let repeats = charge.repeats.iter().map(|a| ("Repeat", a));
            let attempts = first.chain(repeats);
            attempts.map(|(sort, attempt)| format!("{sort} {}", attempt.outcome.name()))
        });
        count(completions.chain(charges))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "storm of {:.1} s", self.storm.as_secs_f64())?;
        write_counts(f, "faults", &self.faults())?;
        write_counts(f, "calls by outcome", &self.outcomes())?;
        write_counts(
            f,
            "operators' commands",
            &count(self.operators.iter().cloned()),
        )?;
        for failure in &self.failures {
            writeln!(f, "not carried out: {failure}")?;
        }
        write_calls(f, "storm", self.storm, &self.storm_calls)?;
        write_calls(f, "rest", self.rest, &self.rest_calls)?;
        for verdict in &self.verdicts {
            writeln!(f, "{verdict}")?;
        }
        Ok(())
    }
}

/// Returns the number of calls between two readings of the counts.
pub fn difference(
    before: &records::CallCounts,
    after: &records::CallCounts,
) -> records::CallCounts {
    let earlier = |caller: &str, purpose: &str| {
        let counts = before.get(caller);
        let count = counts.and_then(|counts| counts.get(purpose));
        count.copied().unwrap_or_default()
    };
    let mut made = records::CallCounts::new();
    for (caller, counts) in after {
        for (purpose, count) in counts {
            let count = count - earlier(caller, purpose);
            if count > 0 {
                let of_caller = made.entry(caller.clone()).or_default();
                of_caller.insert(purpose.clone(), count);
            }
        }
    }
    made
}

fn count(names: impl Iterator<Item = String>) -> Counts {
    let mut counts = Counts::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn write_counts(f: &mut fmt::Formatter<'_>, title: &str, counts: &Counts) -> fmt::Result {
    writeln!(f, "{title}:")?;
    for (name, count) in counts {
        writeln!(f, "    {name}: {count}")?;
    }
    Ok(())
}

fn write_calls(
    f: &mut fmt::Formatter<'_>,
    when: &str,
    lasted: time::Duration,
    calls: &records::CallCounts,
) -> fmt::Result {
    let seconds = lasted.as_secs_f64();
    writeln!(f, "platform calls, {when} of {seconds:.1} s:")?;
    for (caller, counts) in calls {
        let total: u64 = counts.values().sum();
        let rate = total as f64 / seconds.max(1.0);
        let purposes: Vec<String> = counts.iter().map(|(p, n)| format!("{p} {n}")).collect();
        writeln!(
            f,
            "    {caller}: {total} ({rate:.1}/s): {}",
            purposes.join(", ")
        )?;
    }
    Ok(())
}

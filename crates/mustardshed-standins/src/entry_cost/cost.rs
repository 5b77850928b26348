//! Cost of an entry between two samples.

use std::{collections, fmt, time};

use super::sample;

/// Bytes in a mebibyte.
const MEBIBYTE: f64 = 1_048_576.0;

/// Mean and maximum over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Maximum.
    pub max: f64,
}

/// Cost of an entry between two samples.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cost {
    /// CPU time of all threads, in percent of a core.
    pub cpu_percent: Spread,
    /// CPU time of the control thread, in percent of a core.
    pub control_percent: Spread,
    /// Resident memory at the end, in MiB.
    pub resident_mib: Spread,
    /// Bytes per second by kind of connection and direction.
    pub bytes_a_second: collections::BTreeMap<String, Spread>,
    /// Platform calls per second by purpose.
    pub calls_a_second: collections::BTreeMap<String, Spread>,
}

impl Cost {
    /// Returns the cost between two samples of the same entries.
    pub fn between(before: &sample::Sample, after: &sample::Sample) -> Self {
        let elapsed = after.at.saturating_duration_since(before.at);
        let pairs: Vec<_> = before.entries.iter().zip(&after.entries).collect();
        let of = |value: &dyn Fn(&sample::EntryTotals, &sample::EntryTotals) -> f64| {
            spread(pairs.iter().map(|(before, after)| value(before, after)))
        };
        Self {
            cpu_percent: of(&|a, b| percent(b.cpu.saturating_sub(a.cpu), elapsed)),
            control_percent: of(&|a, b| {
                percent(b.control_cpu.saturating_sub(a.control_cpu), elapsed)
            }),
            resident_mib: of(&|_, b| b.resident_bytes as f64 / MEBIBYTE),
            bytes_a_second: rates(&pairs, elapsed, |totals| &totals.bytes),
            calls_a_second: rates(&pairs, elapsed, |totals| &totals.calls),
        }
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| an entry | mean | greatest |\n| --- | --- | --- |")?;
        line(f, "processor, % of a core", &self.cpu_percent)?;
        line(f, "of it control thread", &self.control_percent)?;
        line(f, "resident memory, MiB", &self.resident_mib)?;
        for (name, rate) in &self.bytes_a_second {
            line(f, &format!("{name}, bytes/s"), rate)?;
        }
        for (purpose, rate) in &self.calls_a_second {
            line(f, &format!("platform calls for {purpose}, 1/s"), rate)?;
        }
        Ok(())
    }
}

fn line(f: &mut fmt::Formatter<'_>, name: &str, spread: &Spread) -> fmt::Result {
    writeln!(f, "| {name} | {:.2} | {:.2} |", spread.mean, spread.max)
}

fn percent(used: time::Duration, elapsed: time::Duration) -> f64 {
    100.0 * used.as_secs_f64() / elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
}

fn rates(
    pairs: &[(&sample::EntryTotals, &sample::EntryTotals)],
    elapsed: time::Duration,
    part: impl Fn(&sample::EntryTotals) -> &collections::BTreeMap<String, u64>,
) -> collections::BTreeMap<String, Spread> {
    let names: collections::BTreeSet<&String> = pairs
        .iter()
        .flat_map(|(_, after)| part(after).keys())
        .collect();
    let seconds = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
    let count = |totals: &sample::EntryTotals, name: &str| {
        part(totals).get(name).copied().unwrap_or_default()
    };
    let rate = |name: &String| {
        let grown = |(before, after): &(&sample::EntryTotals, &sample::EntryTotals)| {
            count(after, name).saturating_sub(count(before, name)) as f64 / seconds
        };
        (name.clone(), spread(pairs.iter().map(grown)))
    };
    names.into_iter().map(rate).collect()
}

fn spread(values: impl Iterator<Item = f64>) -> Spread {
    let values: Vec<f64> = values.collect();
    Spread {
        mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
        max: values.iter().copied().fold(0.0, f64::max),
    }
}

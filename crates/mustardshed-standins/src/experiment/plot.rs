//! Plot of the time to first token by prompt length, with one line per policy.

use std::{collections, path};

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use super::{Done, ExperimentError};

const SIZE_PIXELS: (u32, u32) = (900, 540);
const MAX_TOKENS: f64 = 1_000_000.0;
const MIN_TOKENS: f64 = 1_000.0;
const MIN_MS: f64 = 10.0;

/// Points of one policy: prompt length in tokens and 95th percentile in milliseconds.
type Points = collections::BTreeMap<u64, Vec<f64>>;

/// Writes an SVG plot of the time to first token: 95th percentile, median over the seeds.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn or written.
pub fn first_token(file: &path::Path, title: &str, runs: &[&Done]) -> Result<(), ExperimentError> {
    let lines = lines(runs);
    let highest = lines.values().flat_map(|points| points.values().flatten());
    let highest = highest.fold(MIN_MS * 10.0, |most, ms| most.max(*ms));
    let failed = |e: &dyn std::fmt::Display| ExperimentError::Plot(e.to_string());
    let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (MIN_TOKENS..MAX_TOKENS).log_scale(),
            (MIN_MS..highest * 1.2).log_scale(),
        )
        .map_err(|e| failed(&e))?;
    chart
        .configure_mesh()
        .x_desc("prompt length up to, tokens")
        .y_desc("time to first token, p95, ms")
        .draw()
        .map_err(|e| failed(&e))?;
    for (i, (policy, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line = points
            .iter()
            .map(|(tokens, ms)| (*tokens as f64, median(ms)));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))
            .map_err(|e| failed(&e))?
            .label(*policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|e| failed(&e))?;
    area.present().map_err(|e| failed(&e))
}

fn lines<'a>(runs: &[&'a Done]) -> collections::BTreeMap<&'a str, Points> {
    let mut lines: collections::BTreeMap<&str, Points> = collections::BTreeMap::new();
    for done in runs {
        let Some(via) = done.report.via.get("entry") else {
            continue;
        };
        let points = lines.entry(done.run.routing).or_default();
        for (tokens, quantiles) in &via.first_token {
            points.entry(*tokens).or_default().push(quantiles.p95_ms);
        }
    }
    lines
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(MIN_MS)
}

//! The report: a self-contained HTML page with SVG plots.

use super::compare::median;
use super::{RunResult, measure};
use crate::model::Window;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// There are no results.
    #[error("there are no results to report")]
    Empty,
    /// A plot could not be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(String),
}

/// Colours that remain distinguishable with colour blindness.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(80, 80, 80),
];

type WindowValue = fn(&Window) -> f64;
type PointValue = fn(&RunResult) -> Option<f64>;

fn share(n: u64, of: u64) -> f64 {
    n as f64 / of.max(1) as f64
}

/// Plots over the seconds of a run.
const OVER_TIME: [(&str, WindowValue); 9] = [
    ("Goodput: requests served in time, by the second of their first try", |w| w.in_time as f64),
    ("Share of requests rejected on their last try", |w| share(w.refused, w.requests)),
    ("Attempts for each try", |w| share(w.attempts, w.tries)),
    ("Median latency, ms", |w| w.p50_ms),
    ("99th percentile of latency, ms", |w| w.p99_ms),
    ("99.9th percentile of latency, ms", |w| w.p999_ms),
    ("Age of the oldest list change that a sidecar was notified of, ms", |w| w.staleness_ms),
    ("Open connections to servers", |w| w.connections as f64),
    ("New connections", |w| w.handshakes as f64),
];

/// Measures that are plotted over the points of a sweep.
const OVER_SCALE: [&str; 8] =
    ["g", "whole", "refused", "attempts", "p99_ms", "p999_ms", "handshakes", "staleness_p99_ms"];

/// The plotted points of a variant; curves are in the order of the variants' names.
type Curve = Vec<(f64, f64)>;

/// Renders the page for these results; its tables show these measures.
pub fn report(lines: &[RunResult], measures: &[String]) -> Result<String, ReportError> {
    let first = lines.first().ok_or(ReportError::Empty)?;
    let variants: BTreeSet<&str> = lines.iter().map(|l| l.variant.as_str()).collect();
    let scenarios: BTreeSet<&str> = lines.iter().map(|l| l.scenario.as_str()).collect();
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>\
         body{{font:15px/1.4 sans-serif;max-width:75em;margin:2em auto;padding:0 1em}}\
         table{{border-collapse:collapse}}td,th{{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:right}}\
         td:first-child,th:first-child{{text-align:left}}svg{{max-width:49%;height:auto}}</style></head><body>\
         <h1>{0}</h1><p>{1} runs, commit {2}. Plots show the median over seeds.</p>",
        escaped(&first.experiment),
        lines.len(),
        escaped(&first.commit)
    );
    for scenario in scenarios {
        let scenario_lines: Vec<&RunResult> = lines.iter().filter(|l| l.scenario == scenario).collect();
        let _ = write!(page, "<h2>{}</h2><p>", escaped(scenario));
        // One legend for all plots, because inside a plot it would cover the curves.
        for (i, variant) in variants.iter().enumerate() {
            let RGBColor(r, g, b) = COLOURS[i % COLOURS.len()];
            let _ =
                write!(page, "<b style=\"color:rgb({r},{g},{b})\">&#9473; {}</b>&emsp;", escaped(variant));
        }
        page.push_str("</p>");
        let mut points: Vec<_> = Vec::new();
        for line in &scenario_lines {
            if !points.contains(&line.point) {
                points.push(line.point);
            }
        }
        for point in &points {
            let selected: Vec<&RunResult> =
                scenario_lines.iter().copied().filter(|l| l.point == *point).collect();
            let _ = write!(page, "<h3>{point}</h3>");
            table(&mut page, &selected, &variants, measures);
            let curves: BTreeMap<&str, Vec<&RunResult>> = variants
                .iter()
                .map(|v| (*v, selected.iter().copied().filter(|l| l.variant == *v).collect()))
                .collect();
            for (title, value) in OVER_TIME {
                let drawn: Vec<Curve> = curves.values().map(|runs| over_time(runs, value)).collect();
                page.push_str(&plot(title, "s", &drawn)?);
            }
        }
        if points.len() > 1 {
            over_scale(&mut page, &scenario_lines, &variants)?;
        }
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn table(page: &mut String, lines: &[&RunResult], variants: &BTreeSet<&str>, measures: &[String]) {
    page.push_str("<table><tr><th>variant</th><th>runs</th>");
    measures.iter().for_each(|m| {
        let _ = write!(page, "<th>{}</th>", escaped(m));
    });
    page.push_str("</tr>");
    for variant in variants {
        let runs: Vec<&&RunResult> = lines.iter().filter(|l| l.variant == *variant).collect();
        let _ = write!(page, "<tr><td>{}</td><td>{}</td>", escaped(variant), runs.len());
        for m in measures {
            let mut values: Vec<f64> = runs.iter().filter_map(|l| measure(m, &l.figures)).collect();
            values.sort_by(f64::total_cmp);
            let (low, high) = (values.first().copied().unwrap_or(0.0), values.last().copied().unwrap_or(0.0));
            let _ = write!(page, "<td>{:.4} <small>({low:.4} to {high:.4})</small></td>", median(values));
        }
        page.push_str("</tr>");
    }
    page.push_str("</table>");
}

fn over_time(runs: &[&RunResult], value: WindowValue) -> Curve {
    let seconds = runs.iter().map(|l| l.figures.windows.len()).max().unwrap_or(0);
    let at = |s: usize| {
        let selected =
            runs.iter().filter_map(|l| l.figures.windows.get(s)).filter(|w| w.requests > 0).map(value);
        let selected: Vec<f64> = selected.collect();
        (!selected.is_empty()).then(|| (s as f64, median(selected)))
    };
    (0..seconds).filter_map(at).collect()
}

fn over_scale(page: &mut String, lines: &[&RunResult], variants: &BTreeSet<&str>) -> Result<(), ReportError> {
    let axes: [(&str, PointValue); 3] = [
        ("load", |l| l.point.load),
        ("sidecars", |l| l.point.sidecars.map(|n| n as f64)),
        ("servers", |l| l.point.servers.map(|n| n as f64)),
    ];
    for (axis, of) in axes {
        let mut values: Vec<f64> = lines.iter().filter_map(|l| of(l)).collect();
        values.sort_by(f64::total_cmp);
        values.dedup();
        if values.len() < 2 {
            continue;
        }
        let _ = write!(page, "<h3>Over {axis}</h3>");
        for name in OVER_SCALE {
            let curve = |variant: &&'_ str| {
                let at = |x: &f64| {
                    let selected = lines.iter().filter(|l| l.variant == **variant && of(l) == Some(*x));
                    let selected: Vec<f64> = selected.filter_map(|l| measure(name, &l.figures)).collect();
                    (!selected.is_empty()).then(|| (*x, median(selected)))
                };
                values.iter().filter_map(at).collect()
            };
            let drawn: Vec<Curve> = variants.iter().map(curve).collect();
            page.push_str(&plot(name, axis, &drawn)?);
        }
    }
    Ok(())
}

fn plot(title: &str, axis: &str, curves: &[Curve]) -> Result<String, ReportError> {
    let all = || curves.iter().flatten();
    let max_of = |of: fn(&(f64, f64)) -> f64| all().map(of).fold(f64::MIN, f64::max);
    let min_x = all().map(|p| p.0).fold(f64::MAX, f64::min);
    if all().next().is_none() {
        return Ok(String::new());
    }
    let (right, top) = (max_of(|p| p.0).max(min_x + 1e-6), (max_of(|p| p.1) * 1.05).max(1e-6));
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (620, 320)).into_drawing_area();
        let failed = |e: String| ReportError::Plot(e);
        area.fill(&WHITE).map_err(|e| failed(e.to_string()))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(55)
            .build_cartesian_2d(min_x..right, 0.0..top)
            .map_err(|e| failed(e.to_string()))?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc(axis).light_line_style(WHITE).draw().map_err(|e| failed(e.to_string()))?;
        for (i, curve) in curves.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let series = LineSeries::new(curve.iter().copied(), colour.stroke_width(2));
            chart.draw_series(series).map_err(|e| failed(e.to_string()))?;
        }
        area.present().map_err(|e| failed(e.to_string()))?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

#[cfg(test)]
mod tests;

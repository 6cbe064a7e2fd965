//! A plot of the fitted slopes, with one panel each.

use super::{Capacity, Fit, Slope};
use plotters::prelude::*;

/// Why the plot can't be drawn.
#[derive(Debug, thiserror::Error)]
#[error("can't draw the plot: {0}")]
pub struct PlotError(String);

const PANEL: (u32, u32) = (360, 250);
const COLUMNS: usize = 3;
const MEASURED: RGBColor = RGBColor(31, 119, 180);
const PREDICTED: RGBColor = RGBColor(214, 39, 40);

/// Draws a panel for each slope that has points: the points, the line if it is usable, and the prediction of the
/// largest step. Returns the plot as SVG.
pub fn plot(capacity: &Capacity) -> Result<String, PlotError> {
    let slopes = capacity.plan.slopes.iter().zip(&capacity.fits);
    let measured: Vec<(&Slope, &Fit)> = slopes.filter(|(_, fit)| fit.steps > 0).collect();
    let rows = measured.len().div_ceil(COLUMNS).max(1);
    let mut svg = String::new();
    {
        let size = (PANEL.0 * COLUMNS as u32, PANEL.1 * rows as u32);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        for (panel, (slope, fit)) in area.split_evenly((rows, COLUMNS)).iter().zip(measured) {
            draw(panel, capacity, slope, fit)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

type Panel<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(panel: &Panel<'_>, capacity: &Capacity, slope: &Slope, fit: &Fit) -> Result<(), PlotError> {
    let points: Vec<(f64, f64)> = capacity.runs.points(slope).iter().map(|p| (p.x, p.y)).collect();
    let prediction = fit.prediction.map(|p| (p.x, p.predicted));
    let all = || points.iter().copied().chain(prediction);
    let (right, top) = all().fold((0.0f64, 0.0f64), |m, p| (m.0.max(p.0), m.1.max(p.1)));
    let bottom = all().fold(0.0f64, |m, p| m.min(p.1));
    let right = if right > 0.0 { right * 1.05 } else { 1.0 };
    let top = if top > bottom { top + 0.08 * (top - bottom) } else { bottom + 1.0 };
    let title = format!("{} ({})", slope.name, slope.mode.name());
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(62)
        .build_cartesian_2d(0.0..right, bottom..top)
        .map_err(failed)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(&slope.x).y_desc(&slope.y).light_line_style(WHITE).x_labels(5).y_labels(5);
    mesh.draw().map_err(failed)?;
    if let Some(line) = fit.usable_line() {
        let ends = [0.0, right].map(|x| (x, line.at(x)));
        chart.draw_series(LineSeries::new(ends, &MEASURED)).map_err(failed)?;
    }
    let dots = points.iter().map(|p| Circle::new(*p, 3, MEASURED.filled()));
    chart.draw_series(dots).map_err(failed)?;
    let crosses = prediction.iter().map(|p| Cross::new(*p, 5, PREDICTED.stroke_width(2)));
    chart.draw_series(crosses).map_err(failed)?;
    Ok(())
}

fn failed(error: impl std::fmt::Display) -> PlotError {
    PlotError(error.to_string())
}

//! The inputs of all estimates: the plan's figures and the fitted slopes.

use super::{NOT_MEASURED, number, table};
use crate::capacity::{Capacity, Plan, Verdict};

/// The plan's figures with their sources.
pub fn sizes(plan: &Plan) -> String {
    let all = plan.sizes.figures().chain(plan.budgets.figures()).chain(plan.assumptions.figures());
    let row = |(description, f): (&str, &crate::capacity::Figure)| {
        vec![description.to_owned(), number(f.value), f.source.name().to_owned(), f.note.clone()]
    };
    table(&["figure", "value", "source", "note"], &all.map(row).collect::<Vec<_>>())
}

/// The fitted slopes, with how well the lines predict.
pub fn slopes(capacity: &Capacity) -> String {
    let mut rows = Vec::new();
    for (slope, fit) in capacity.plan.slopes.iter().zip(&capacity.fits) {
        let name_and_mode = [slope.name.clone(), slope.mode.name().to_owned()];
        let failed = match capacity.runs.failed(slope) {
            0 => String::new(),
            n => format!(", {n} failed"),
        };
        let verdict = match (fit.verdict, fit.steps) {
            (_, 0) => NOT_MEASURED,
            (Verdict::Usable, _) => "usable",
            (Verdict::NotPredictive, _) => "**not predictive: no usable line**",
            (Verdict::TooFewSteps, _) => "too few steps",
        };
        let dash = || "-".to_owned();
        let line = fit.line.filter(|_| fit.verdict != Verdict::NotPredictive);
        let interval = line.and_then(|l| l.slope_interval);
        rows.push(
            name_and_mode
                .into_iter()
                .chain([
                    line.map_or_else(dash, |l| format!("{} {}", number(l.slope), slope.unit)),
                    interval.map_or_else(dash, |(low, high)| format!("{} to {}", number(low), number(high))),
                    line.map_or_else(dash, |l| number(l.intercept)),
                    line.map_or_else(dash, |l| number(l.largest_residual)),
                    format!("{}{failed}", fit.steps),
                    fit.prediction.map_or_else(dash, |p| {
                        format!("{} and {} at {}", number(p.predicted), number(p.measured), number(p.x))
                    }),
                    verdict.to_owned(),
                    format!("{}, {}", slope.file, slope.sweep),
                ])
                .collect(),
        );
    }
    let heads = [
        "slope",
        "mode",
        "value",
        "95% interval",
        "at 0",
        "largest residual",
        "steps",
        "predicted and measured",
        "verdict",
        "run",
    ];
    table(&heads, &rows)
}

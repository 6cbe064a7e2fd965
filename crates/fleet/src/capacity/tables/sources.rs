//! What all is worked out from: the plan's figures, and the slopes.

use super::{NOT_MEASURED, number, table};
use crate::capacity::{Capacity, Plan, Verdict};

/// The plan's figures, each with where it comes from.
pub fn sizes(plan: &Plan) -> String {
    let all = plan.sizes.each().chain(plan.budgets.each()).chain(plan.assumptions.each());
    let row = |(meaning, f): (&str, &crate::capacity::Figure)| {
        vec![meaning.to_owned(), number(f.value), f.source.name().to_owned(), f.note.clone()]
    };
    table(&["figure", "value", "source", "note"], &all.map(row).collect::<Vec<_>>())
}

/// The slopes with how well they fit.
pub fn slopes(capacity: &Capacity) -> String {
    let mut rows = Vec::new();
    for (slope, fit) in capacity.plan.slope.iter().zip(&capacity.fits) {
        let named = [slope.name.clone(), slope.mode.name().to_owned()];
        let failed = match capacity.runs.failed(slope) {
            0 => String::new(),
            n => format!(", {n} failed"),
        };
        let verdict = match (fit.verdict, fit.steps) {
            (_, 0) => NOT_MEASURED,
            (Verdict::Counts, _) => "counts",
            (Verdict::DoesNotForetell, _) => "**does not foretell: no line**",
            (Verdict::TooFewPoints, _) => "too few steps",
        };
        let none = || "-".to_owned();
        let line = fit.line.filter(|_| fit.verdict != Verdict::DoesNotForetell);
        let interval = line.and_then(|l| l.interval);
        rows.push(
            named
                .into_iter()
                .chain([
                    line.map_or_else(none, |l| format!("{} {}", number(l.slope), slope.unit)),
                    interval.map_or_else(none, |(low, high)| format!("{} to {}", number(low), number(high))),
                    line.map_or_else(none, |l| number(l.intercept)),
                    line.map_or_else(none, |l| number(l.largest_residual)),
                    format!("{}{failed}", fit.steps),
                    fit.foretold.map_or_else(none, |f| {
                        format!("{} and {} at {}", number(f.said), number(f.measured), number(f.x))
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
        "foretold and measured",
        "verdict",
        "run",
    ];
    table(&heads, &rows)
}

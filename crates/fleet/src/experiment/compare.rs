//! Comparison in pairs: two variants on the same days.

use super::{Line, measure};
use crate::chance::stream;
use rand::RngExt;
use std::collections::BTreeMap;

/// How one variant differs from another, over the days that both played.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The scenario, and the point of the sweep.
    pub at: String,
    /// Days that both played.
    pub pairs: usize,
    /// Median of each.
    pub medians: (f64, f64),
    /// Median of the differences, the other less the base.
    pub difference: f64,
    /// 95% of medians of differences drawn anew from these pairs lie in here.
    pub interval: (f64, f64),
}

/// Draws of the bootstrap.
const DRAWS: usize = 4000;

/// The median, which of an even number is the mean of the middle two; 0 of none.
pub(super) fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    match all.len() {
        0 => 0.0,
        n if n % 2 == 1 => all[n / 2],
        n => (all[n / 2 - 1] + all[n / 2]) / 2.0,
    }
}

/// Compares `other` to `base` by a measure, for each scenario and point; `None` for a measure that is not known.
pub fn compare(lines: &[Line], by: &str, base: &str, other: &str) -> Option<Vec<Comparison>> {
    let mut days: BTreeMap<String, BTreeMap<u64, [Option<f64>; 2]>> = BTreeMap::new();
    for line in lines {
        let at = format!("{} {}", line.scenario, line.point);
        let value = measure(by, &line.figures)?;
        for (i, name) in [base, other].into_iter().enumerate() {
            if line.variant == name {
                days.entry(at.clone()).or_default().entry(line.seed).or_default()[i] = Some(value);
            }
        }
    }
    let compared = days.into_iter().filter_map(|(at, seeds)| {
        let pairs: Vec<(f64, f64)> = seeds.into_values().filter_map(|[a, b]| a.zip(b)).collect();
        if pairs.is_empty() {
            return None;
        }
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
        Some(Comparison {
            at: at.trim_end().to_owned(),
            pairs: pairs.len(),
            medians: (
                median(pairs.iter().map(|p| p.0).collect()),
                median(pairs.iter().map(|p| p.1).collect()),
            ),
            difference: median(differences.clone()),
            interval: bootstrap(&differences),
        })
    });
    Some(compared.collect())
}

/// Where 95% of medians lie of as many draws with replacement; the draws are the same each time.
fn bootstrap(of: &[f64]) -> (f64, f64) {
    let mut rng = stream(0, "bootstrap", of.len() as u64);
    let draw = |_| median((0..of.len()).map(|_| of[rng.random_range(0..of.len())]).collect());
    let mut medians: Vec<f64> = (0..DRAWS).map(draw).collect();
    medians.sort_by(f64::total_cmp);
    (medians[DRAWS * 25 / 1000], medians[DRAWS * 975 / 1000])
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::Point;
    use crate::model::Figures;

    fn line(variant: &str, seed: u64, score: f64) -> Line {
        Line {
            experiment: "e".into(),
            commit: "c".into(),
            scenario: "s".into(),
            variant: variant.into(),
            point: Point::default(),
            seed,
            figures: Figures { score, ..Figures::default() },
        }
    }

    #[test]
    fn days_are_paired_by_seed_and_those_that_one_lacks_are_left_out() {
        // Days differ by far more than the variants do.
        let mut lines: Vec<_> = (1..=10)
            .flat_map(|s| {
                let g = s as f64 / 10.0;
                [line("a", s, g), line("b", s, g + 0.01 + 0.001 * (s % 3) as f64)]
            })
            .collect();
        lines.push(line("a", 11, 5.0));
        let compared = compare(&lines, "g", "a", "b").expect("g is a measure");
        let c = &compared[0];
        assert_eq!((compared.len(), c.pairs, c.at.as_str()), (1, 10, "s"));
        assert!((c.difference - 0.011).abs() < 1e-9, "{c:?}");
        assert!(c.interval.0 > 0.0099 && c.interval.1 < 0.0121, "{c:?}");
        assert_eq!(compare(&lines, "beauty", "a", "b"), None);
    }

    #[test]
    fn medians_are_of_the_middle() {
        assert_eq!((median(vec![3.0, 1.0, 2.0]), median(vec![4.0, 1.0]), median(vec![])), (2.0, 2.5, 0.0));
    }
}

//! Paired comparison of two variants over the same seeds.

use super::{RunResult, measure};
use crate::chance::stream;
use rand::RngExt;
use std::collections::BTreeMap;

/// How one variant differs from another, over the seeds that both have results for.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Label: the scenario and the point of the sweep.
    pub label: String,
    /// Number of seeds that both have results for.
    pub pairs: usize,
    /// Medians of the base and of the other variant.
    pub medians: (f64, f64),
    /// Median of the differences, the other less the base.
    pub difference: f64,
    /// 95% bootstrap confidence interval of the median difference.
    pub interval: (f64, f64),
}

/// Number of bootstrap resamples.
const RESAMPLES: usize = 4000;

/// The median, for an even number of values the mean of the middle two; 0 if there are none.
pub(super) fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    match all.len() {
        0 => 0.0,
        n if n % 2 == 1 => all[n / 2],
        n => (all[n / 2 - 1] + all[n / 2]) / 2.0,
    }
}

/// Compares `other` to `base` by a measure, for each scenario and point; `None` for an unknown measure.
pub fn compare(lines: &[RunResult], measure_name: &str, base: &str, other: &str) -> Option<Vec<Comparison>> {
    let mut values_by_seed: BTreeMap<String, BTreeMap<u64, [Option<f64>; 2]>> = BTreeMap::new();
    for line in lines {
        let label = format!("{} {}", line.scenario, line.point);
        let value = measure(measure_name, &line.figures)?;
        for (i, name) in [base, other].into_iter().enumerate() {
            if line.variant == name {
                values_by_seed.entry(label.clone()).or_default().entry(line.seed).or_default()[i] =
                    Some(value);
            }
        }
    }
    let compared = values_by_seed.into_iter().filter_map(|(label, seeds)| {
        let pairs: Vec<(f64, f64)> = seeds.into_values().filter_map(|[a, b]| a.zip(b)).collect();
        if pairs.is_empty() {
            return None;
        }
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
        Some(Comparison {
            label: label.trim_end().to_owned(),
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

/// 95% percentile bootstrap interval of the median. The resampling has a fixed seed, so that results are
/// reproducible.
fn bootstrap(differences: &[f64]) -> (f64, f64) {
    let mut rng = stream(0, "bootstrap", differences.len() as u64);
    let draw = |_| {
        median((0..differences.len()).map(|_| differences[rng.random_range(0..differences.len())]).collect())
    };
    let mut medians: Vec<f64> = (0..RESAMPLES).map(draw).collect();
    medians.sort_by(f64::total_cmp);
    (medians[RESAMPLES * 25 / 1000], medians[RESAMPLES * 975 / 1000])
}

#[cfg(test)]
mod tests;

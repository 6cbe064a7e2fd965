use super::*;
use crate::experiment::Point;
use crate::model::Figures;

fn line(variant: &str, seed: u64, score: f64) -> RunResult {
    RunResult {
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
fn pairs_results_by_seed_and_skips_unpaired_seeds() {
    // Seeds differ by far more than the variants do.
    let mut lines: Vec<_> = (1..=10)
        .flat_map(|s| {
            let g = s as f64 / 10.0;
            [line("a", s, g), line("b", s, g + 0.01 + 0.001 * (s % 3) as f64)]
        })
        .collect();
    lines.push(line("a", 11, 5.0));
    let compared = compare(&lines, "g", "a", "b").expect("g is a measure");
    let c = &compared[0];
    assert_eq!((compared.len(), c.pairs, c.label.as_str()), (1, 10, "s"));
    assert!((c.difference - 0.011).abs() < 1e-9, "{c:?}");
    assert!(c.interval.0 > 0.0099 && c.interval.1 < 0.0121, "{c:?}");
    assert_eq!(compare(&lines, "no_such_measure", "a", "b"), None);
}

#[test]
fn median_is_the_middle_value() {
    assert_eq!((median(vec![3.0, 1.0, 2.0]), median(vec![4.0, 1.0]), median(vec![])), (2.0, 2.5, 0.0));
}

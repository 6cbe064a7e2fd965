//! Least-squares lines: what they recover, what they do not depend on, and which of them are usable.

use lotusmoor_fleet::capacity::{Fit, Line, Point, Verdict};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Normal};

fn points(coordinates: impl IntoIterator<Item = (f64, f64)>) -> Vec<Point> {
    coordinates.into_iter().enumerate().map(|(i, (x, y))| Point { step: i as u64, x, y }).collect()
}

fn near(a: f64, b: f64, scale: f64) -> bool {
    (a - b).abs() <= 1e-6 * scale.abs().max(1e-9)
}

/// Arbitrary points with distinct values of x, at least 1 apart.
fn arbitrary_points() -> impl Strategy<Value = Vec<Point>> {
    prop::collection::vec((1.0..100.0f64, -1e4..1e4f64), 4..12).prop_map(|steps| {
        let mut x = 0.0;
        points(steps.into_iter().map(|(gap, y)| {
            x += gap;
            (x, y)
        }))
    })
}

proptest! {
    #[test]
    fn exact_line_is_recovered(
        gaps in prop::collection::vec(1.0..100.0f64, 4..12), a in -1e3..1e3f64, b in -1e3..1e3f64,
    ) {
        let xs = gaps.iter().scan(0.0, |x, gap| { *x += gap; Some(*x) });
        let fit = Fit::new(&points(xs.map(|x| (x, a + b * x))));
        let line = fit.line.expect("a line");
        let size = (a.abs() + b.abs()) * 1200.0;
        prop_assert!(near(line.intercept, a, size) && near(line.slope, b, size), "{line:?}");
        prop_assert!(near(line.largest_residual, 0.0, size));
        let (low, high) = line.slope_interval.expect("an interval");
        prop_assert!(low <= line.slope && line.slope <= high && near(high - low, 0.0, size));
        let prediction = fit.prediction.expect("a prediction");
        prop_assert!(near(prediction.predicted, prediction.measured, size));
    }

    #[test]
    fn order_of_points_does_not_matter(mut data in arbitrary_points(), seed in 0..1000u64) {
        let first = Fit::new(&data);
        data.sort_by_key(|p| (p.step * 7919 + seed * 31) % 101);
        let again = Fit::new(&data);
        prop_assert_eq!((first.steps, first.verdict), (again.steps, again.verdict));
        let (a, b) = (first.line.expect("a line"), again.line.expect("a line"));
        prop_assert!(near(a.slope, b.slope, 1e6) && near(a.intercept, b.intercept, 1e6));
    }

    #[test]
    fn units_only_scale_the_line(
        data in arbitrary_points(), x_unit in 0.01..100.0f64, y_unit in 0.01..100.0f64,
    ) {
        let scaled: Vec<Point> =
            data.iter().map(|p| Point { x: p.x * x_unit, y: p.y * y_unit, ..*p }).collect();
        let (first, other) = (Fit::new(&data), Fit::new(&scaled));
        let (a, b) = (first.line.expect("a line"), other.line.expect("a line"));
        prop_assert!(near(a.slope * y_unit / x_unit, b.slope, 1e6 * y_unit / x_unit), "{a:?} {b:?}");
        prop_assert!(near(a.intercept * y_unit, b.intercept, 1e6 * y_unit));
        prop_assert!(near(a.largest_residual * y_unit, b.largest_residual, 1e6 * y_unit));
        prop_assert!(near(a.r2, b.r2, 1.0));
        let (prediction, other) =
            (first.prediction.expect("a prediction"), other.prediction.expect("a prediction"));
        prop_assert!(near(prediction.predicted * y_unit, other.predicted, 1e7 * y_unit));
    }

    #[test]
    fn quadratic_data_is_not_predictive(
        unit in 0.1..1000.0f64, factor in 0.001..1000.0f64, steps in 4..9i32,
    ) {
        let data = (0..steps).map(|i| 2f64.powi(i) * unit).map(|x| (x, factor * x * x));
        prop_assert_eq!(Fit::new(&points(data)).verdict, Verdict::NotPredictive);
    }
}

#[test]
fn confidence_interval_covers_the_true_slope_in_about_95_percent_of_samples() {
    let noise = Normal::new(0.0, 5.0).expect("the standard deviation is valid");
    let samples = 400;
    let covered = (0..samples).filter(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let data = (1..=6).map(|i| f64::from(i) * 10.0).map(|x| (x, 3.0 + 2.0 * x + noise.sample(&mut rng)));
        let (low, high) = Line::through(&points(data)).and_then(|l| l.slope_interval).expect("an interval");
        low <= 2.0 && 2.0 <= high
    });
    let share = covered.count() as f64 / samples as f64;
    assert!((0.92..=0.98).contains(&share), "{share}");
}

#[test]
fn verdict_depends_on_the_prediction_of_the_largest_step() {
    let fit_to = |coordinates: &[(f64, f64)]| Fit::new(&points(coordinates.iter().copied()));
    let line = [(1.0, 10.0), (2.0, 20.0), (4.0, 40.0), (8.0, 80.0)];
    assert_eq!(fit_to(&line).verdict, Verdict::Usable);
    assert_eq!(fit_to(&line[..3]).verdict, Verdict::TooFewSteps);
    assert_eq!(fit_to(&[]).verdict, Verdict::TooFewSteps);
    // The line predicts 80, which may differ from the measured value by a fifth of it.
    let with_last = |y: f64| fit_to(&[line[0], line[1], line[2], (8.0, y)]);
    for (y, verdict) in [
        (99.0, Verdict::Usable),
        (101.0, Verdict::NotPredictive),
        (67.0, Verdict::Usable),
        (66.0, Verdict::NotPredictive),
    ] {
        let fit = with_last(y);
        assert_eq!(fit.verdict, verdict, "{y}");
        assert_eq!(fit.usable_line().is_some(), verdict == Verdict::Usable);
        let prediction = fit.prediction.expect("a prediction");
        assert!(prediction.x == 8.0 && near(prediction.predicted, 80.0, 1.0) && prediction.measured == y);
    }
}

#[test]
fn runs_of_the_same_step_are_averaged() {
    let mut data = points([(1.0, 10.0), (2.0, 20.0), (4.0, 40.0), (8.0, 78.0)]);
    data.push(Point { step: 3, x: 8.2, y: 84.0 });
    let fit = Fit::new(&data);
    let prediction = fit.prediction.expect("a prediction");
    assert_eq!((fit.steps, fit.verdict), (4, Verdict::Usable));
    assert!(
        near(prediction.x, 8.1, 1.0)
            && near(prediction.predicted, 81.0, 1.0)
            && near(prediction.measured, 81.0, 1.0)
    );
    // Two runs of three steps are not four steps.
    let twice: Vec<Point> = data.iter().filter(|p| p.step < 3).flat_map(|p| [*p, *p]).collect();
    assert_eq!(Fit::new(&twice).verdict, Verdict::TooFewSteps);
}

#[test]
fn points_with_equal_x_or_non_finite_values_give_no_line() {
    assert_eq!(Line::through(&points([(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)])), None);
    assert_eq!(Line::through(&points([(1.0, f64::NAN), (5.0, 2.0), (6.0, 3.0)])), None);
    let two = Line::through(&points([(1.0, 1.0), (2.0, 3.0)])).expect("a line");
    assert_eq!((two.slope, two.slope_interval), (2.0, None));
}

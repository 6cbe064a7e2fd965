//! Lines by least squares: what they recover, what they do not depend on, and which of them count.

use lotusmoor_fleet::capacity::{Fit, Line, Point, Verdict};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Normal};

fn points(at: impl IntoIterator<Item = (f64, f64)>) -> Vec<Point> {
    at.into_iter().enumerate().map(|(i, (x, y))| Point { step: i as u64, x, y }).collect()
}

fn near(a: f64, b: f64, size: f64) -> bool {
    (a - b).abs() <= 1e-6 * size.abs().max(1e-9)
}

/// Distinct values of x, well apart, and one y for each.
fn drawn() -> impl Strategy<Value = Vec<Point>> {
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
    fn an_exact_line_is_recovered(
        gaps in prop::collection::vec(1.0..100.0f64, 4..12), a in -1e3..1e3f64, b in -1e3..1e3f64,
    ) {
        let xs = gaps.iter().scan(0.0, |x, gap| { *x += gap; Some(*x) });
        let fit = Fit::of(&points(xs.map(|x| (x, a + b * x))));
        let line = fit.line.expect("a line");
        let size = (a.abs() + b.abs()) * 1200.0;
        prop_assert!(near(line.intercept, a, size) && near(line.slope, b, size), "{line:?}");
        prop_assert!(near(line.largest_residual, 0.0, size));
        let (low, high) = line.interval.expect("an interval");
        prop_assert!(low <= line.slope && line.slope <= high && near(high - low, 0.0, size));
        let told = fit.foretold.expect("a step");
        prop_assert!(near(told.said, told.measured, size));
    }

    #[test]
    fn the_order_of_points_is_of_no_matter(mut at in drawn(), seed in 0..1000u64) {
        let first = Fit::of(&at);
        at.sort_by_key(|p| (p.step * 7919 + seed * 31) % 101);
        let again = Fit::of(&at);
        prop_assert_eq!((first.steps, first.verdict), (again.steps, again.verdict));
        let (a, b) = (first.line.expect("a line"), again.line.expect("a line"));
        prop_assert!(near(a.slope, b.slope, 1e6) && near(a.intercept, b.intercept, 1e6));
    }

    #[test]
    fn units_only_scale_a_line(at in drawn(), of_x in 0.01..100.0f64, of_y in 0.01..100.0f64) {
        let scaled: Vec<Point> = at.iter().map(|p| Point { x: p.x * of_x, y: p.y * of_y, ..*p }).collect();
        let (first, other) = (Fit::of(&at), Fit::of(&scaled));
        let (a, b) = (first.line.expect("a line"), other.line.expect("a line"));
        prop_assert!(near(a.slope * of_y / of_x, b.slope, 1e6 * of_y / of_x), "{a:?} {b:?}");
        prop_assert!(near(a.intercept * of_y, b.intercept, 1e6 * of_y));
        prop_assert!(near(a.largest_residual * of_y, b.largest_residual, 1e6 * of_y));
        prop_assert!(near(a.r2, b.r2, 1.0));
        let (told, other) = (first.foretold.expect("a step"), other.foretold.expect("a step"));
        prop_assert!(near(told.said * of_y, other.said, 1e7 * of_y));
    }

    #[test]
    fn a_square_foretells_nothing(unit in 0.1..1000.0f64, of in 0.001..1000.0f64, steps in 4..9i32) {
        let at = (0..steps).map(|i| 2f64.powi(i) * unit).map(|x| (x, of * x * x));
        prop_assert_eq!(Fit::of(&points(at)).verdict, Verdict::DoesNotForetell);
    }
}

#[test]
fn the_interval_covers_the_true_slope_in_about_95_of_100_draws() {
    let noise = Normal::new(0.0, 5.0).expect("a spread");
    let draws = 400;
    let covered = (0..draws).filter(|seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(*seed);
        let at = (1..=6).map(|i| f64::from(i) * 10.0).map(|x| (x, 3.0 + 2.0 * x + noise.sample(&mut rng)));
        let (low, high) = Line::through(&points(at)).and_then(|l| l.interval).expect("an interval");
        low <= 2.0 && 2.0 <= high
    });
    let share = covered.count() as f64 / draws as f64;
    assert!((0.92..=0.98).contains(&share), "{share}");
}

#[test]
fn a_slope_counts_by_the_step_that_it_foretells() {
    let of = |at: &[(f64, f64)]| Fit::of(&points(at.iter().copied()));
    let line = [(1.0, 10.0), (2.0, 20.0), (4.0, 40.0), (8.0, 80.0)];
    assert_eq!(of(&line).verdict, Verdict::Counts);
    assert_eq!(of(&line[..3]).verdict, Verdict::TooFewPoints);
    assert_eq!(of(&[]).verdict, Verdict::TooFewPoints);
    // The line says 80; a fifth either way of what was measured is the bound.
    let last = |y: f64| of(&[line[0], line[1], line[2], (8.0, y)]);
    for (y, verdict) in [
        (99.0, Verdict::Counts),
        (101.0, Verdict::DoesNotForetell),
        (67.0, Verdict::Counts),
        (66.0, Verdict::DoesNotForetell),
    ] {
        let fit = last(y);
        assert_eq!(fit.verdict, verdict, "{y}");
        assert_eq!(fit.counted().is_some(), verdict == Verdict::Counts);
        let told = fit.foretold.expect("a step");
        assert!(told.x == 8.0 && near(told.said, 80.0, 1.0) && told.measured == y);
    }
}

#[test]
fn a_step_played_twice_is_one_step_and_foretold_whole() {
    let mut at = points([(1.0, 10.0), (2.0, 20.0), (4.0, 40.0), (8.0, 78.0)]);
    at.push(Point { step: 3, x: 8.2, y: 84.0 });
    let fit = Fit::of(&at);
    let told = fit.foretold.expect("a step");
    assert_eq!((fit.steps, fit.verdict), (4, Verdict::Counts));
    assert!(near(told.x, 8.1, 1.0) && near(told.said, 81.0, 1.0) && near(told.measured, 81.0, 1.0));
    // Two plays of three steps are not four steps.
    let twice: Vec<Point> = at.iter().filter(|p| p.step < 3).flat_map(|p| [*p, *p]).collect();
    assert_eq!(Fit::of(&twice).verdict, Verdict::TooFewPoints);
}

#[test]
fn points_above_one_another_or_not_finite_give_no_line() {
    assert_eq!(Line::through(&points([(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)])), None);
    assert_eq!(Line::through(&points([(1.0, f64::NAN), (5.0, 2.0), (6.0, 3.0)])), None);
    let two = Line::through(&points([(1.0, 1.0), (2.0, 3.0)])).expect("a line");
    assert_eq!((two.slope, two.interval), (2.0, None));
}

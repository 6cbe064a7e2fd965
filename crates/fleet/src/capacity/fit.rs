//! Least-squares lines, and whether the line through the smaller steps of a sweep predicts the largest step.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// Minimum number of steps: three to fit the line and one to check its prediction.
pub const MIN_STEPS: usize = 4;
/// Maximum error of a prediction, relative to the measured value.
pub const MAX_RELATIVE_ERROR: f64 = 0.2;

/// One measured point of a sweep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The step of the sweep. Several points have the same step if the sweep was run more than once.
    pub step: u64,
    /// What was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at 0.
    pub intercept: f64,
    /// The rise per unit of x.
    pub slope: f64,
    /// The 95% confidence interval of the slope by Student's t, if there are more than two points. It assumes that the
    /// residuals are independent and identically distributed.
    pub slope_interval: Option<(f64, f64)>,
    /// The largest distance of a measured value from the line.
    pub largest_residual: f64,
    /// Share of the variance of y that the line explains; 1 if y does not vary.
    pub r2: f64,
}

impl Line {
    /// Fits a line to the points. Returns `None` if x has fewer than two distinct values, or if a value is not finite.
    pub fn through(points: &[Point]) -> Option<Self> {
        if points.iter().any(|p| !p.x.is_finite() || !p.y.is_finite()) {
            return None;
        }
        let n = points.len() as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.x), mean(|p| p.y));
        let sum = |term: &dyn Fn(f64, f64) -> f64| points.iter().map(|p| term(p.x - x, p.y - y)).sum::<f64>();
        let (xx, xy, yy) = (sum(&|dx, _| dx * dx), sum(&|dx, dy| dx * dy), sum(&|_, dy| dy * dy));
        // Differences below this bound are rounding errors.
        if points.len() < 2 || xx <= 1e-18 * n * x * x || xx == 0.0 {
            return None;
        }
        let slope = xy / xx;
        let intercept = y - slope * x;
        let residual = |p: &Point| p.y - intercept - slope * p.x;
        let squares: f64 = points.iter().map(|p| residual(p).powi(2)).sum();
        let largest_residual = points.iter().map(|p| residual(p).abs()).fold(0.0, f64::max);
        let degrees_of_freedom = n - 2.0;
        let slope_interval = (degrees_of_freedom >= 1.0)
            .then(|| StudentsT::new(0.0, 1.0, degrees_of_freedom).ok())
            .flatten()
            .map(|t| {
                let half_width = t.inverse_cdf(0.975) * (squares / degrees_of_freedom / xx).sqrt();
                (slope - half_width, slope + half_width)
            });
        let r2 = if yy > 0.0 { 1.0 - squares / yy } else { 1.0 };
        Some(Self { intercept, slope, slope_interval, largest_residual, r2 })
    }

    /// The line's value at x.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The largest step as predicted by the line through all other steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The largest step's x.
    pub x: f64,
    /// The value at x of the line through the other steps.
    pub predicted: f64,
    /// The measured value; the mean if the step was run more than once.
    pub measured: f64,
}

impl Prediction {
    /// Whether the prediction is within a fifth of the measured value.
    pub fn is_accurate(&self) -> bool {
        (self.predicted - self.measured).abs() <= MAX_RELATIVE_ERROR * self.measured.abs()
    }
}

/// Whether a line may be used for extrapolation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The line through the smaller steps predicts the largest one.
    Usable,
    /// The line through the smaller steps does not predict the largest one.
    NotPredictive,
    /// There are too few steps to check a prediction.
    TooFewSteps,
}

/// The line through a sweep's points, and how well it predicts.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// Number of distinct steps.
    pub steps: usize,
    /// The line through all points, if there is one.
    pub line: Option<Line>,
    /// The prediction of the largest step, if there is a line through the smaller ones.
    pub prediction: Option<Prediction>,
    /// Whether the line may be used for extrapolation.
    pub verdict: Verdict,
}

impl Fit {
    /// Fits a line to the points, which may be in any order.
    pub fn new(points: &[Point]) -> Self {
        let mut steps: Vec<u64> = points.iter().map(|p| p.step).collect();
        steps.sort_unstable();
        steps.dedup();
        let mean = |step: u64, value: fn(&Point) -> f64| {
            let values: Vec<f64> = points.iter().filter(|p| p.step == step).map(value).collect();
            values.iter().sum::<f64>() / values.len() as f64
        };
        let largest = steps.iter().copied().max_by(|a, b| mean(*a, |p| p.x).total_cmp(&mean(*b, |p| p.x)));
        let line = Line::through(points);
        let prediction = largest.and_then(|largest| {
            let smaller: Vec<Point> = points.iter().copied().filter(|p| p.step != largest).collect();
            let x = mean(largest, |p| p.x);
            let predicted = Line::through(&smaller)?.at(x);
            Some(Prediction { x, predicted, measured: mean(largest, |p| p.y) })
        });
        let verdict =
            match prediction {
                Some(prediction) if steps.len() >= MIN_STEPS && line.is_some() => {
                    if prediction.is_accurate() { Verdict::Usable } else { Verdict::NotPredictive }
                }
                _ => Verdict::TooFewSteps,
            };
        Self { steps: steps.len(), line, prediction, verdict }
    }

    /// The line, if it may be used for extrapolation.
    pub fn usable_line(&self) -> Option<Line> {
        self.line.filter(|_| self.verdict == Verdict::Usable)
    }
}

//! A line through points by least squares, and whether the line through the smaller steps foretells the largest.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// Steps that a line takes at the least: three to draw it by and one to foretell.
pub const LEAST_STEPS: usize = 4;
/// A step counts as foretold where it is within this part of what was measured.
pub const WITHIN: f64 = 0.2;

/// One measured point of a sweep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The step of the sweep; several points may have one, as a sweep may be played again.
    pub step: u64,
    /// What was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// A line by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at 0.
    pub intercept: f64,
    /// The rise for one of x.
    pub slope: f64,
    /// Where the slope lies with 95% by Student's t, where there are more than two points; it takes residuals for
    /// independent and alike.
    pub interval: Option<(f64, f64)>,
    /// The largest distance of a measured value from the line.
    pub largest_residual: f64,
    /// Share of the spread of y that the line explains; 1 where y does not vary.
    pub r2: f64,
}

impl Line {
    /// Through these points; `None` where fewer than two values of x are among them, or a value is not finite.
    pub fn through(points: &[Point]) -> Option<Self> {
        if points.iter().any(|p| !p.x.is_finite() || !p.y.is_finite()) {
            return None;
        }
        let n = points.len() as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.x), mean(|p| p.y));
        let sum = |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|p| of(p.x - x, p.y - y)).sum::<f64>();
        let (xx, xy, yy) = (sum(&|dx, _| dx * dx), sum(&|dx, dy| dx * dy), sum(&|_, dy| dy * dy));
        // Below this what differs is rounding of the figures alone.
        if points.len() < 2 || xx <= 1e-18 * n * x * x || xx == 0.0 {
            return None;
        }
        let slope = xy / xx;
        let intercept = y - slope * x;
        let residual = |p: &Point| p.y - intercept - slope * p.x;
        let squares: f64 = points.iter().map(|p| residual(p).powi(2)).sum();
        let largest_residual = points.iter().map(|p| residual(p).abs()).fold(0.0, f64::max);
        let freedom = n - 2.0;
        let interval = (freedom >= 1.0).then(|| StudentsT::new(0.0, 1.0, freedom).ok()).flatten().map(|t| {
            let half = t.inverse_cdf(0.975) * (squares / freedom / xx).sqrt();
            (slope - half, slope + half)
        });
        let r2 = if yy > 0.0 { 1.0 - squares / yy } else { 1.0 };
        Some(Self { intercept, slope, interval, largest_residual, r2 })
    }

    /// Its value there.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// What the line through all steps but the largest says of the largest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Foretold {
    /// The largest step's x.
    pub x: f64,
    /// What the line through the others says there.
    pub said: f64,
    /// What was measured, the mean where the step was played more than once.
    pub measured: f64,
}

impl Foretold {
    /// Whether that is within a fifth of what was measured.
    pub fn within(&self) -> bool {
        (self.said - self.measured).abs() <= WITHIN * self.measured.abs()
    }
}

/// Whether a slope may be used beyond its steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The line through the smaller steps foretells the largest.
    Counts,
    /// It does not.
    DoesNotForetell,
    /// There are too few steps to tell.
    TooFewPoints,
}

/// All that is worked out of a sweep's points.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// Distinct steps.
    pub steps: usize,
    /// The line through all points, where there is one.
    pub line: Option<Line>,
    /// The step foretold, where the smaller ones give a line.
    pub foretold: Option<Foretold>,
    /// Whether the line counts.
    pub verdict: Verdict,
}

impl Fit {
    /// Of these points, in any order.
    pub fn of(points: &[Point]) -> Self {
        let mut steps: Vec<u64> = points.iter().map(|p| p.step).collect();
        steps.sort_unstable();
        steps.dedup();
        let mean = |step: u64, of: fn(&Point) -> f64| {
            let here: Vec<f64> = points.iter().filter(|p| p.step == step).map(of).collect();
            here.iter().sum::<f64>() / here.len() as f64
        };
        let largest = steps.iter().copied().max_by(|a, b| mean(*a, |p| p.x).total_cmp(&mean(*b, |p| p.x)));
        let line = Line::through(points);
        let foretold = largest.and_then(|largest| {
            let smaller: Vec<Point> = points.iter().copied().filter(|p| p.step != largest).collect();
            let x = mean(largest, |p| p.x);
            let said = Line::through(&smaller)?.at(x);
            Some(Foretold { x, said, measured: mean(largest, |p| p.y) })
        });
        let verdict = match foretold {
            Some(f) if steps.len() >= LEAST_STEPS && line.is_some() => {
                if f.within() {
                    Verdict::Counts
                } else {
                    Verdict::DoesNotForetell
                }
            }
            _ => Verdict::TooFewPoints,
        };
        Self { steps: steps.len(), line, foretold, verdict }
    }

    /// The line, where it may be used beyond its steps.
    pub fn counted(&self) -> Option<Line> {
        self.line.filter(|_| self.verdict == Verdict::Counts)
    }
}

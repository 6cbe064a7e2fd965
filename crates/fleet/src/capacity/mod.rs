//! Capacity planning: fits lines to recorded runs by least squares, and estimates from them what a plan's fleet needs.
//! The results are published in `docs/CAPACITY.md`.

mod demand;
mod fit;
mod page;
mod plan;
mod plot;
mod runs;
mod tables;

pub use demand::{DAY_S, Demand};
pub use fit::{Fit, Line, MAX_RELATIVE_ERROR, MIN_STEPS, Point, Prediction, Verdict};
pub use page::{PageError, rewrite};
pub use plan::{Assumptions, Budgets, Figure, Mode, Plan, Role, Sizes, Slope, Source};
pub use plot::{PlotError, plot};
pub use runs::{Runs, RunsError, Step};
pub use tables::tables;

use crate::site::FileError;
use std::path::Path;

/// Why a plan can't be evaluated.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The plan can't be read or is invalid.
    #[error("{0}")]
    Plan(#[from] FileError),
    /// The plan's recorded runs can't be read or are invalid.
    #[error("{0}")]
    Runs(#[from] RunsError),
}

/// A plan with its recorded runs and the lines fitted to them.
#[derive(Debug)]
pub struct Capacity {
    /// The plan.
    pub plan: Plan,
    /// Its recorded runs.
    pub runs: Runs,
    /// A fit for each slope of the plan, in the plan's order.
    pub fits: Vec<Fit>,
}

/// An estimate of a figure.
#[derive(Clone, Debug, PartialEq)]
pub enum Estimate {
    /// The figure could be computed.
    Computed {
        /// The figure.
        value: f64,
        /// Names of slopes that would contribute, but are not measured or have no usable line.
        missing_slopes: Vec<String>,
        /// Names of the slopes from which the figure was computed.
        used_slopes: Vec<String>,
    },
    /// The slope that gives the base value has no usable line, so that only measured values are known.
    NoUsableLine {
        /// Name of the slope.
        slope: String,
        /// The largest measured x, and the value there.
        largest_measured: (f64, f64),
    },
    /// There is no measurement.
    NotMeasured,
}

impl Estimate {
    /// The figure, if it could be computed.
    pub fn value(&self) -> Option<f64> {
        match self {
            Self::Computed { value, .. } => Some(*value),
            _ => None,
        }
    }
}

impl Capacity {
    /// Reads a plan and the recorded runs that it names.
    pub fn read(plan: &Path) -> Result<Self, CapacityError> {
        let plan = Plan::read(plan)?;
        let runs = Runs::read(&plan.results)?;
        Ok(Self::new(plan, runs))
    }

    /// Fits all slopes of the plan.
    pub fn new(plan: Plan, runs: Runs) -> Self {
        let fits = plan.slopes.iter().map(|s| Fit::new(&runs.points(s))).collect();
        Self { plan, runs, fits }
    }

    /// Estimates the figure `y` of a role under a demand. The first slope with this mode, role and `y` is the base: its
    /// line gives the value at its x. Each further slope adds `slope * (x - x0)`: `x` is the value of its variable
    /// under the demand, and `x0` the value that the variable had in the base's runs at the base's x, which the base's
    /// line accounts for already.
    pub fn estimate(&self, mode: Mode, role: Role, y: &str, demand: &Demand) -> Estimate {
        // The decision module (crate `lotusmoor_balancer`) is measured in one mode only: all that matters to it is how
        // many servers it is given.
        let contributes =
            |s: &Slope| s.role == role && s.y == y && s.adds && (s.mode == mode || role == Role::Module);
        let mut slopes = self.plan.slopes.iter().zip(&self.fits).filter(|(s, _)| contributes(s));
        let Some((base, fit)) = slopes.next() else { return Estimate::NotMeasured };
        let points = self.runs.points(base);
        let Some(largest) = points.iter().max_by(|a, b| a.x.total_cmp(&b.x)) else {
            return Estimate::NotMeasured;
        };
        let (Some(line), Some(x)) = (fit.usable_line(), demand.value(role, &base.x)) else {
            return Estimate::NoUsableLine {
                slope: base.name.clone(),
                largest_measured: (largest.x, largest.y),
            };
        };
        let (mut value, mut used_slopes, mut missing_slopes) =
            (line.at(x), vec![base.name.clone()], Vec::new());
        for (slope, fit) in slopes {
            // The value of this slope's x that the base line already accounts for at the base's x, by a line through
            // the x values of both slopes in the base's runs.
            let included = self
                .runs
                .completed_steps(base)
                .filter_map(|s| Some(Point { step: s.step, x: s.value(&base.x)?, y: s.value(&slope.x)? }));
            let included = Line::through(&included.collect::<Vec<_>>()).map(|l| l.at(x));
            match (fit.usable_line(), included, demand.value(role, &slope.x)) {
                (Some(line), Some(included), Some(x)) => {
                    value += line.slope * (x - included);
                    used_slopes.push(slope.name.clone());
                }
                _ => missing_slopes.push(slope.name.clone()),
            }
        }
        Estimate::Computed { value: value.max(0.0), missing_slopes, used_slopes }
    }

    /// The rise of a role's figure `y` per unit of `x`; `None` if it is not measured or its line is not usable.
    pub fn marginal_cost(&self, mode: Mode, role: Role, y: &str, x: &str) -> Option<f64> {
        let matches = |s: &Slope| s.mode == mode && s.role == role && s.y == y && s.x == x;
        let (_, fit) = self.plan.slopes.iter().zip(&self.fits).find(|(s, _)| matches(s))?;
        Some(fit.usable_line()?.slope)
    }
}

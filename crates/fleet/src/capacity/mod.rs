//! Capacity: slopes by least squares over recorded runs, and what they make of a plan's sizes. Page: `docs/CAPACITY.md`.

mod fit;
mod page;
mod plan;
mod plot;
mod runs;
mod tables;
mod target;

pub use fit::{Fit, Foretold, LEAST_STEPS, Line, Point, Verdict, WITHIN};
pub use page::{PageError, rewrite};
pub use plan::{Assumptions, Budgets, Figure, Mode, Plan, Role, Sizes, Slope, Source};
pub use plot::{PlotError, plot};
pub use runs::{Runs, RunsError, Step};
pub use tables::tables;
pub use target::{DAY_S, Demand};

use crate::site::FileError;
use std::path::Path;

/// Why a plan can't be worked out.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The plan can't be used.
    #[error("{0}")]
    Plan(#[from] FileError),
    /// Its recorded runs can't be used.
    #[error("{0}")]
    Runs(#[from] RunsError),
}

/// A plan with its slopes.
#[derive(Debug)]
pub struct Capacity {
    /// The plan.
    pub plan: Plan,
    /// Its recorded runs.
    pub runs: Runs,
    /// A fit for each slope of the plan, in its order.
    pub fits: Vec<Fit>,
}

/// What the slopes say of a figure.
#[derive(Clone, Debug, PartialEq)]
pub enum Estimate {
    /// Worked out.
    Worked {
        /// The figure.
        value: f64,
        /// Names of slopes that add to it but are not measured or don't count.
        without: Vec<String>,
        /// The slopes that it is worked out by.
        by: Vec<String>,
    },
    /// The slope that it hangs on is no line: the largest step is all that is known.
    NoLine {
        /// The slope.
        name: String,
        /// The largest x that was measured, and the value there.
        most: (f64, f64),
    },
    /// Nothing was measured of it.
    NotMeasured,
}

impl Estimate {
    /// The figure, where it could be worked out.
    pub fn value(&self) -> Option<f64> {
        match self {
            Self::Worked { value, .. } => Some(*value),
            _ => None,
        }
    }
}

impl Capacity {
    /// Reads a plan and the recorded runs that it names.
    pub fn read(plan: &Path) -> Result<Self, CapacityError> {
        let plan = Plan::read(plan)?;
        let runs = Runs::read(&plan.results)?;
        Ok(Self::of(plan, runs))
    }

    /// Fits all slopes.
    pub fn of(plan: Plan, runs: Runs) -> Self {
        let fits = plan.slope.iter().map(|s| Fit::of(&runs.points(s))).collect();
        Self { plan, runs, fits }
    }

    /// A role's figure under a demand. The first slope of that mode, role and y gives the line; each further one adds
    /// its slope times what its x differs from what it was in the first one's runs.
    pub fn estimate(&self, mode: Mode, role: Role, y: &str, demand: &Demand) -> Estimate {
        // The module has no modes; its runs are of one.
        let of = |s: &Slope| s.role == role && s.y == y && s.adds && (s.mode == mode || role == Role::Module);
        let mut slopes = self.plan.slope.iter().zip(&self.fits).filter(|(s, _)| of(s));
        let Some((base, fit)) = slopes.next() else { return Estimate::NotMeasured };
        let points = self.runs.points(base);
        let Some(most) = points.iter().max_by(|a, b| a.x.total_cmp(&b.x)) else {
            return Estimate::NotMeasured;
        };
        let (Some(line), Some(x)) = (fit.counted(), demand.of(role, &base.x)) else {
            return Estimate::NoLine { name: base.name.clone(), most: (most.x, most.y) };
        };
        let (mut value, mut by, mut without) = (line.at(x), vec![base.name.clone()], Vec::new());
        for (slope, fit) in slopes {
            // What the base's line holds of this x already, at the size that it is read at.
            let held = self
                .runs
                .of(base)
                .filter_map(|s| Some(Point { step: s.step, x: s.value(&base.x)?, y: s.value(&slope.x)? }));
            let held = Line::through(&held.collect::<Vec<_>>()).map(|l| l.at(x));
            match (fit.counted(), held, demand.of(role, &slope.x)) {
                (Some(line), Some(held), Some(x)) => {
                    value += line.slope * (x - held);
                    by.push(slope.name.clone());
                }
                _ => without.push(slope.name.clone()),
            }
        }
        Estimate::Worked { value: value.max(0.0), without, by }
    }

    /// What one of x costs a role, by its slope; `None` where that is not measured or does not count.
    pub fn cost(&self, mode: Mode, role: Role, y: &str, x: &str) -> Option<f64> {
        let of = |s: &Slope| s.mode == mode && s.role == role && s.y == y && s.x == x;
        let (_, fit) = self.plan.slope.iter().zip(&self.fits).find(|(s, _)| of(s))?;
        Some(fit.counted()?.slope)
    }
}

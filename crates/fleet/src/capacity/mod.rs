//! Capacity: slopes by least squares over recorded runs, and what they make of a plan's sizes. Page: `docs/CAPACITY.md`.

mod fit;

pub use fit::{Fit, Foretold, LEAST_STEPS, Line, Point, Verdict, WITHIN};

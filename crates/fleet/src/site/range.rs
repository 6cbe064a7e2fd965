//! A parameter that is drawn: a fixed number, or a range with uniform distribution.

use rand::RngExt;
use serde::Deserialize;

/// A range between two ends in either order. Site files may give the milder value first, so the first can be the
/// greater one.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(from = "SerializedRange")]
pub struct Range {
    from: f64,
    to: f64,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "a number or a pair of numbers")]
enum SerializedRange {
    One(f64),
    Two([f64; 2]),
}

impl From<SerializedRange> for Range {
    fn from(serialized: SerializedRange) -> Self {
        match serialized {
            SerializedRange::One(x) => Self::new(x, x),
            SerializedRange::Two([from, to]) => Self::new(from, to),
        }
    }
}

impl From<f64> for Range {
    fn from(x: f64) -> Self {
        Self::new(x, x)
    }
}

impl Range {
    /// The range between these ends.
    pub const fn new(from: f64, to: f64) -> Self {
        Self { from, to }
    }

    /// The lesser end.
    pub fn low(self) -> f64 {
        self.from.min(self.to)
    }

    /// The greater end.
    pub fn high(self) -> f64 {
        self.from.max(self.to)
    }

    /// The middle of the range.
    pub fn mid(self) -> f64 {
        (self.from + self.to) / 2.0
    }

    /// Draws a value, uniformly between the ends.
    pub fn draw(self, rng: &mut impl RngExt) -> f64 {
        self.from + (self.to - self.from) * rng.random::<f64>()
    }
}

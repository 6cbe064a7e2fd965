//! A figure that is drawn: one number, or the two ends between which it lies.

use rand::RngExt;
use serde::Deserialize;

/// Two ends, in either order; for some figures the first is the milder one.
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
    /// Between these.
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

    /// In the middle.
    pub fn mid(self) -> f64 {
        (self.from + self.to) / 2.0
    }

    /// A figure between the ends.
    pub fn draw(self, rng: &mut impl RngExt) -> f64 {
        self.from + (self.to - self.from) * rng.random::<f64>()
    }
}

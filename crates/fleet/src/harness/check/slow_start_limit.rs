//! What a cold server bears.

/// What a cold server bears, as the settings tell it. Each request of the stand-ins takes the mean work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Requests a second that a warm server does.
    pub per_s: f64,
    /// Multiple of what it can do that pushes it over ...
    pub factor: f64,
    /// ... when it is sent that for so long, in microseconds.
    pub window: i64,
    /// Share of its capacity at its start.
    pub share: f64,
    /// Time until it is warm, in microseconds.
    pub warm: i64,
}

/// Under so many requests chance counts for more.
const SMALL_SAMPLE: f64 = 30.0;

impl SlowStartLimit {
    /// Requests within the window beyond which a server of that age falls; `None` where it is warm.
    pub fn max_requests(&self, age: i64) -> Option<f64> {
        let age = age.max(0) as f64 / self.warm as f64;
        (age < 1.0).then(|| {
            let warmth = self.share + (1.0 - self.share) * age;
            let n = self.factor * self.per_s * warmth * self.window as f64 / 1e6;
            n + if n < SMALL_SAMPLE { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 }
        })
    }
}

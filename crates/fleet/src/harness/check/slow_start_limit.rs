//! How many requests a server can take while it is warming up.

/// The capacity of a server that is warming up, from the settings. Every request to a fake backend is the same
/// amount of work, the mean, so the load is the number of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimit {
    /// Requests a second that a warm server can serve.
    pub requests_per_s: f64,
    /// Multiple of its capacity that overloads a server when it is sustained over `window`.
    pub overload_factor: f64,
    /// How long that load has to last, in microseconds.
    pub window: i64,
    /// Fraction of its capacity that a server has when it starts.
    pub initial_share: f64,
    /// Time from its start until it has its full capacity, in microseconds.
    pub warm_up_time: i64,
}

/// Below this number of requests random variation weighs more, so the tolerance is wider.
const SMALL_SAMPLE: f64 = 30.0;

impl SlowStartLimit {
    /// The most requests within the window that a server of this age can take, tolerance included; `None` once it is
    /// warm.
    pub fn max_requests(&self, age: i64) -> Option<f64> {
        let age = age.max(0) as f64 / self.warm_up_time as f64;
        (age < 1.0).then(|| {
            let capacity = self.initial_share + (1.0 - self.initial_share) * age;
            let n = self.overload_factor * self.requests_per_s * capacity * self.window as f64 / 1e6;
            n + if n < SMALL_SAMPLE { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 }
        })
    }
}

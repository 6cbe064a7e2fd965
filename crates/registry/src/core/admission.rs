//! How many calls are answered, and when the others are told to come again: each a later time than the one before,
//! so that those who were turned away together don't come back together.

use super::{Micros, SECOND};

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It is answered.
    Now,
    /// It is to come again after so long.
    Later(Micros),
}

/// A bucket of calls that may be answered, and those that were told to come again.
pub struct Admission {
    rate: f64,
    burst: f64,
    room: f64,
    /// Calls that were told to come again and have not had the time to.
    owed: f64,
    longest: Micros,
    at: Option<Micros>,
}

impl Admission {
    /// So many calls a second, and `burst` at once; none is told to stay away for longer than `longest`.
    pub fn new(rate: f64, burst: f64, longest: Micros) -> Self {
        Self { rate, burst, room: burst, owed: 0.0, longest, at: None }
    }

    /// A call comes.
    pub fn ask(&mut self, now: Micros) -> Admit {
        let passed = now - self.at.replace(now).unwrap_or(now);
        let gained = passed.max(0) as f64 / SECOND as f64 * self.rate;
        self.room = (self.room + gained).min(self.burst);
        self.owed = (self.owed - gained).max(0.0);
        if self.room >= 1.0 {
            self.room -= 1.0;
            return Admit::Now;
        }
        self.owed += 1.0;
        let wait = (self.owed / self.rate * SECOND as f64) as Micros;
        Admit::Later(wait.clamp(1000, self.longest))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn three_thousand_that_come_at_once_are_all_answered_within_what_the_rate_allows() {
        let mut admission = Admission::new(500.0, 500.0, 30 * SECOND);
        let mut coming: Vec<Micros> = vec![0; 3000];
        let (mut answered, mut calls, mut last) = (Vec::new(), 0, 0);
        while !coming.is_empty() {
            coming.sort_unstable();
            let now = coming.remove(0);
            calls += 1;
            last = now;
            match admission.ask(now) {
                Admit::Now => answered.push(now),
                Admit::Later(wait) => coming.push(now + wait),
            }
        }
        assert_eq!(answered.len(), 3000);
        assert!(last < 6 * SECOND, "{last}");
        assert!(calls < 6600, "hardly anyone comes a third time: {calls}");
        for at in &answered {
            let second = answered.iter().filter(|a| (*at..*at + SECOND).contains(*a)).count();
            assert!(second <= 1001, "{second} in a second");
        }
    }

    #[test]
    fn nobody_is_told_to_stay_away_for_longer_than_the_bound() {
        let mut admission = Admission::new(1.0, 1.0, 5 * SECOND);
        for _ in 0..1000 {
            if let Admit::Later(wait) = admission.ask(0) {
                assert!((1000..=5 * SECOND).contains(&wait));
            }
        }
    }
}

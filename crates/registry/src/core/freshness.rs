//! How old a replica's list can be. A replica asks the leader which index is committed; once it has applied that, its
//! list lacks nothing that was acknowledged before the instant at which it asked. All on its own monotonic clock.

use super::{Micros, SECOND};

/// What a reader is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The list, that old.
    Plain(Micros),
    /// The list, that old, which is told as stale.
    Marked(Micros),
    /// Nothing: it could be too old.
    Refused,
}

/// The age of a replica's list.
pub struct Freshness {
    mark_after: Micros,
    refuse_after: Micros,
    true_at: Option<Micros>,
    /// What the leader said and this replica has not applied yet: when it was asked, and the index of the log.
    ahead: Option<(Micros, u64)>,
    applied: u64,
}

impl Default for Freshness {
    fn default() -> Self {
        Self::new(3 * SECOND, 30 * SECOND)
    }
}

impl Freshness {
    /// Lists older than the first bound are marked, older than the second refused.
    pub fn new(mark_after: Micros, refuse_after: Micros) -> Self {
        Self { mark_after, refuse_after, true_at: None, ahead: None, applied: 0 }
    }

    /// This replica has applied the log up to there.
    pub fn applied(&mut self, index: u64) {
        self.applied = self.applied.max(index);
        if let Some((asked, _)) = self.ahead.take_if(|(_, index)| *index <= self.applied) {
            self.holds(asked);
        }
    }

    /// The leader, asked at that instant, has said that it leads and that the log is committed up to there.
    pub fn committed(&mut self, asked: Micros, index: u64) {
        if index <= self.applied {
            self.holds(asked);
        } else if self.ahead.is_none() {
            // An earlier one is reached first, and a replica that never catches up must not be put off for ever.
            self.ahead = Some((asked, index));
        }
    }

    fn holds(&mut self, asked: Micros) {
        self.true_at = Some(self.true_at.map_or(asked, |at| at.max(asked)));
    }

    /// How old the list can be; `None` where nothing is known.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.true_at.map(|at| now - at)
    }

    /// What a reader is given now.
    pub fn reading(&self, now: Micros) -> Reading {
        match self.age(now) {
            Some(age) if age <= self.mark_after => Reading::Plain(age),
            Some(age) if age <= self.refuse_after => Reading::Marked(age),
            _ => Reading::Refused,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_age_counts_from_the_question_and_only_once_the_answer_is_applied() {
        let mut f = Freshness::default();
        assert_eq!(f.reading(0), Reading::Refused);
        f.applied(10);
        f.committed(5 * SECOND, 12);
        assert_eq!(f.age(6 * SECOND), None);
        f.applied(11);
        assert_eq!(f.age(6 * SECOND), None);
        f.applied(12);
        assert_eq!(f.reading(6 * SECOND), Reading::Plain(SECOND));
        // An answer to an earlier question changes nothing.
        f.committed(4 * SECOND, 12);
        assert_eq!(f.age(6 * SECOND), Some(SECOND));
        assert_eq!(f.reading(9 * SECOND), Reading::Marked(4 * SECOND));
        assert_eq!(f.reading(36 * SECOND), Reading::Refused);
    }

    #[test]
    fn a_replica_that_lags_behind_for_ever_still_learns_how_old_it_is() {
        let mut f = Freshness::default();
        for second in 1..20 {
            f.committed(second * SECOND, 10 * second as u64);
            // It is 25 entries behind.
            f.applied((10 * second as u64).saturating_sub(25));
        }
        let age = f.age(20 * SECOND).expect("it is known");
        assert!((3 * SECOND..=8 * SECOND).contains(&age), "{age}");
    }
}

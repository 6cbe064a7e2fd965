//! When a change of the list counts as told to a sidecar, whether or not it was, by the operators' pages.

/// A change counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: i64 = 6_000_000;
/// After a reload, everything that discovery has to report counts as told within this.
const TOLD_AFTER_RELOAD: i64 = 4_000_000;

/// Why a sidecar could not be told anything for a while, or was to ask anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Obstacle {
    /// Its process was away.
    Away,
    /// Discovery was silent, and watches with it: those that were opened meanwhile stay so.
    Silence,
    /// It was told to reload, and discovery is at another address from then on.
    Reload,
}

/// A stretch in which there was such an obstacle; a reload has no length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Obstructed {
    pub(super) sidecar: usize,
    pub(super) why: Obstacle,
    pub(super) span: (i64, i64),
}

/// What stood between discovery and sidecars.
#[derive(Debug, Default)]
pub(super) struct Obstacles {
    /// Lists are pushed: what discovery's agent beside the sidecar has counts as told, also to a new process.
    pub(super) pushed: bool,
    pub(super) all: Vec<Obstructed>,
}

impl Obstacles {
    /// When a change that discovery had at that time counts as told at the latest.
    pub(super) fn told_at_the_latest(&self, sidecar: usize, at: i64) -> i64 {
        let usual = if self.pushed { 0 } else { TOLD_WITHIN };
        let own = || self.all.iter().filter(|o| o.sidecar == sidecar);
        let later = |told: i64, o: &Obstructed| {
            let within = match o.why {
                Obstacle::Away => usual,
                Obstacle::Silence => TOLD_WITHIN,
                // Where lists are asked for, it only brings that forward.
                Obstacle::Reload if self.pushed => TOLD_AFTER_RELOAD,
                Obstacle::Reload => return None,
            };
            let until = o.span.1 + within;
            (o.span.0 <= told && o.span.1 >= at && until > told).then_some(until)
        };
        let mut told = at + usual;
        while let Some(until) = own().find_map(|o| later(told, o)) {
            told = until;
        }
        let reloads = own().filter(|o| o.why == Obstacle::Reload).map(|o| o.span.1);
        let in_peace = |from: i64| {
            let meets = |o: &Obstructed| o.span.0 <= from + TOLD_AFTER_RELOAD && from <= o.span.1;
            !own().any(|o| o.why != Obstacle::Reload && meets(o))
        };
        let after_reload =
            reloads.filter(|from| *from >= at && in_peace(*from)).map(|from| from + TOLD_AFTER_RELOAD);
        after_reload.chain([told]).min().unwrap_or(told)
    }
}

#[cfg(test)]
mod tests;

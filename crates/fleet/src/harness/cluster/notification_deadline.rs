//! When a change of the list counts as told to a sidecar, whether or not it was, by the operators' pages.

/// A change counts as told so long after discovery had it and could be reached.
const NOTIFIED_WITHIN_US: i64 = 6_000_000;
/// After a reload, everything that discovery has to report counts as told within this.
const NOTIFIED_AFTER_RELOAD_US: i64 = 4_000_000;

/// Why a sidecar could not be told anything for a while, or was to ask anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InterruptionCause {
    /// Its process was away.
    ProcessDown,
    /// Discovery was silent, and watches with it: those that were opened meanwhile stay so.
    DiscoverySilent,
    /// It was told to reload, and discovery is at another address from then on.
    Reload,
}

/// A stretch in which there was such an obstacle; a reload has no length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interruption {
    pub(super) sidecar: usize,
    pub(super) why: InterruptionCause,
    pub(super) span: (i64, i64),
}

/// What stood between discovery and sidecars.
#[derive(Debug, Default)]
pub(super) struct Interruptions {
    /// Lists are pushed: what discovery's agent beside the sidecar has counts as told, also to a new process.
    pub(super) pushed: bool,
    pub(super) all: Vec<Interruption>,
}

impl Interruptions {
    /// When a change that discovery had at that time counts as told at the latest.
    pub(super) fn notified_by(&self, sidecar: usize, at: i64) -> i64 {
        let usual = if self.pushed { 0 } else { NOTIFIED_WITHIN_US };
        let own = || self.all.iter().filter(|o| o.sidecar == sidecar);
        let later = |told: i64, o: &Interruption| {
            let within = match o.why {
                InterruptionCause::ProcessDown => usual,
                InterruptionCause::DiscoverySilent => NOTIFIED_WITHIN_US,
                // Where lists are asked for, it only brings that forward.
                InterruptionCause::Reload if self.pushed => NOTIFIED_AFTER_RELOAD_US,
                InterruptionCause::Reload => return None,
            };
            let until = o.span.1 + within;
            (o.span.0 <= told && o.span.1 >= at && until > told).then_some(until)
        };
        let mut told = at + usual;
        while let Some(until) = own().find_map(|o| later(told, o)) {
            told = until;
        }
        let reloads = own().filter(|o| o.why == InterruptionCause::Reload).map(|o| o.span.1);
        let in_peace = |from: i64| {
            let meets = |o: &Interruption| o.span.0 <= from + NOTIFIED_AFTER_RELOAD_US && from <= o.span.1;
            !own().any(|o| o.why != InterruptionCause::Reload && meets(o))
        };
        let after_reload =
            reloads.filter(|from| *from >= at && in_peace(*from)).map(|from| from + NOTIFIED_AFTER_RELOAD_US);
        after_reload.chain([told]).min().unwrap_or(told)
    }
}

#[cfg(test)]
mod tests;

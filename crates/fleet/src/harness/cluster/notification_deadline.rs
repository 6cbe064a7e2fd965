//! The time by which a sidecar is expected to have been notified of a change of the list, whether or not it was. The
//! time limits are those that operators are promised.

/// Time limit for a notification, from when discovery has the change and is reachable, in microseconds.
const NOTIFIED_WITHIN_US: i64 = 6_000_000;
/// Time limit for all pending notifications after a reload, in microseconds.
const NOTIFIED_AFTER_RELOAD_US: i64 = 4_000_000;

/// Why a sidecar could not be notified for a while, or had to poll again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InterruptionCause {
    /// Its process was not running.
    ProcessDown,
    /// Discovery was silent. Watches that were opened in that time never get an answer.
    DiscoverySilent,
    /// It reloaded its configuration, with discovery at another address from then on.
    Reload,
}

/// A period in which a sidecar could not be notified; that of a reload has no length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interruption {
    pub(super) sidecar: usize,
    pub(super) cause: InterruptionCause,
    pub(super) span: (i64, i64),
}

/// All interruptions of a run.
#[derive(Debug, Default)]
pub(super) struct Interruptions {
    /// Whether lists are pushed. If so, a change counts as delivered as soon as the local agent of discovery, which
    /// runs beside the sidecar, has it; also to a new process of the sidecar.
    pub(super) pushed: bool,
    pub(super) all: Vec<Interruption>,
}

impl Interruptions {
    /// The latest time by which a sidecar is expected to be notified of a change that discovery had at time `at`.
    pub(super) fn notified_by(&self, sidecar: usize, at: i64) -> i64 {
        let usual = if self.pushed { 0 } else { NOTIFIED_WITHIN_US };
        let own = || self.all.iter().filter(|interruption| interruption.sidecar == sidecar);
        let extended = |deadline: i64, interruption: &Interruption| {
            let within = match interruption.cause {
                InterruptionCause::ProcessDown => usual,
                InterruptionCause::DiscoverySilent => NOTIFIED_WITHIN_US,
                // For a sidecar that polls, a reload can only bring the deadline forward (`after_reload` below).
                InterruptionCause::Reload if self.pushed => NOTIFIED_AFTER_RELOAD_US,
                InterruptionCause::Reload => return None,
            };
            let until = interruption.span.1 + within;
            (interruption.span.0 <= deadline && interruption.span.1 >= at && until > deadline)
                .then_some(until)
        };
        let mut deadline = at + usual;
        while let Some(until) = own().find_map(|interruption| extended(deadline, interruption)) {
            deadline = until;
        }
        let reloads = own()
            .filter(|interruption| interruption.cause == InterruptionCause::Reload)
            .map(|interruption| interruption.span.1);
        let undisturbed = |from: i64| {
            let overlaps = |interruption: &Interruption| {
                interruption.span.0 <= from + NOTIFIED_AFTER_RELOAD_US && from <= interruption.span.1
            };
            !own()
                .any(|interruption| interruption.cause != InterruptionCause::Reload && overlaps(interruption))
        };
        let after_reload = reloads
            .filter(|from| *from >= at && undisturbed(*from))
            .map(|from| from + NOTIFIED_AFTER_RELOAD_US);
        after_reload.chain([deadline]).min().unwrap_or(deadline)
    }
}

#[cfg(test)]
mod tests;

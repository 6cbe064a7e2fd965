//! How many shares of the limits a process aims for.

use std::time::Duration;

/// Number of shares that the limits of a sidecar are divided into.
pub(super) const SHARES: usize = 64;
/// Shares that a process leaves free, so that another one which starts can serve at once, and those that it keeps while
/// it stops.
pub(super) const MIN_SHARES: usize = SHARES / 16;
/// How long a process may run on after another has started: that is ready within 6 s, and SIGKILL follows 3.7 s after
/// the SIGTERM that its readiness causes.
pub(super) const MAX_HANDOVER_TIME: Duration = Duration::from_secs(10);

/// What decides on the shares of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Circumstances {
    /// This process is shutting down.
    pub(super) stopping: bool,
    /// Another process of this sidecar is in service.
    pub(super) other_is_serving: bool,
    /// Another process may be in service that takes no locks.
    pub(super) other_may_be_unseen: bool,
}

/// How many shares a process aims for.
pub(super) fn target_shares(circumstances: Circumstances) -> usize {
    let Circumstances { stopping, other_is_serving, other_may_be_unseen } = circumstances;
    if stopping {
        MIN_SHARES
    } else if other_is_serving || other_may_be_unseen {
        SHARES / 2
    } else {
        SHARES - MIN_SHARES
    }
}

/// How many shares that amount takes, if `whole` is what all shares give.
pub(super) fn shares_for(amount: usize, whole: usize) -> usize {
    (amount * SHARES).div_ceil(whole.max(1))
}

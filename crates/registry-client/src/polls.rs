//! Decides which replica is polled, and when.
//!
//! Normally one poll is in flight: a watch, at the replica that responded last. After a failure the next replica is
//! polled, with exponential backoff and with jitter, so that thousands of watchers don't poll at the same instant. That
//! poll is hedged: if there is no response within `hedge_delay`, the replica after it is polled as well.

use crate::list::Version;
use crate::{Action, Micros, Settings};

/// Maximum number of doublings of the backoff, which reaches its limit long before.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Lower bound of the factor that a backoff is multiplied by.
const MIN_BACKOFF_FACTOR: f64 = 0.5;
/// Width of the range from which that factor is drawn.
const BACKOFF_JITTER: f64 = 0.5;
/// Largest share of a `Retry-After` that is added to it as jitter.
const RETRY_AFTER_JITTER: f64 = 0.2;
const MICROS_PER_MILLISECOND: Micros = 1000;

/// What a poll is for.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Purpose {
    /// Waits for the next change.
    Watch,
    /// Gets the present list without waiting.
    Read,
    /// Gets the complete list, to compare it with the withheld one.
    Confirm,
}

/// A poll whose response is outstanding.
pub(crate) struct InFlightPoll {
    pub(crate) id: u64,
    pub(crate) replica: usize,
    pub(crate) after: Option<Version>,
    pub(crate) purpose: Purpose,
    pub(crate) sent_at: Micros,
    deadline: Micros,
}

/// The polls of a watcher.
pub(crate) struct Polls {
    rng: fastrand::Rng,
    in_flight: Vec<InFlightPoll>,
    last_id: u64,
    /// The replica that is polled next.
    replica: usize,
    consecutive_failures: u32,
    next_at: Option<Micros>,
    hedge_at: Option<Micros>,
}

impl Polls {
    pub(crate) fn new(replicas: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let replica = rng.usize(0..replicas);
        Self {
            rng,
            in_flight: Vec::new(),
            last_id: 0,
            replica,
            consecutive_failures: 0,
            next_at: None,
            hedge_at: None,
        }
    }

    /// Whether a poll is scheduled or in flight, which is so from the start of the watcher on.
    pub(crate) fn has_started(&self) -> bool {
        self.next_at.is_some() || !self.in_flight.is_empty()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// The earliest instant at which a deadline, the next poll or a hedged poll is due.
    pub(crate) fn next_timer(&self) -> Option<Micros> {
        let deadline = self.in_flight.iter().map(|poll| poll.deadline).min();
        [deadline, self.next_at, self.hedge_at].into_iter().flatten().min()
    }

    /// Removes a poll from those in flight; `None` if it was cancelled or timed out before.
    pub(crate) fn take(&mut self, id: u64) -> Option<InFlightPoll> {
        let position = self.in_flight.iter().position(|poll| poll.id == id)?;
        Some(self.in_flight.swap_remove(position))
    }

    /// Removes and returns a poll whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Micros) -> Option<InFlightPoll> {
        let position = self.in_flight.iter().position(|poll| poll.deadline <= now)?;
        Some(self.in_flight.swap_remove(position))
    }

    /// Whether the next poll is due; returns `true` once for each poll.
    pub(crate) fn take_next(&mut self, now: Micros) -> bool {
        self.next_at.take_if(|at| *at <= now).is_some()
    }

    /// Sends a hedged poll if it is due and a single poll is in flight.
    pub(crate) fn hedge_if_due(&mut self, now: Micros, settings: &Settings, actions: &mut Vec<Action>) {
        if self.hedge_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        if let [only] = self.in_flight.as_slice() {
            let replica = (only.replica + 1) % settings.replicas;
            let (after, purpose) = (only.after, only.purpose);
            self.send(now, replica, after, purpose, settings, actions);
        }
    }

    /// Polls the next replica for the changes after a version, or for the complete list.
    pub(crate) fn send_next(
        &mut self,
        now: Micros,
        after: Option<Version>,
        settings: &Settings,
        actions: &mut Vec<Action>,
    ) {
        let has_failed = self.consecutive_failures > 0;
        let purpose = if has_failed || after.is_none() { Purpose::Read } else { Purpose::Watch };
        self.send(now, self.replica, after, purpose, settings, actions);
        if has_failed && settings.replicas > 1 {
            self.hedge_at = Some(now + settings.hedge_delay);
        }
    }

    /// Polls the next replica for a list to compare with the withheld one.
    pub(crate) fn send_confirmation(&mut self, now: Micros, settings: &Settings, actions: &mut Vec<Action>) {
        self.send(now, self.replica, None, Purpose::Confirm, settings, actions);
    }

    pub(crate) fn send(
        &mut self,
        now: Micros,
        replica: usize,
        after: Option<Version>,
        purpose: Purpose,
        settings: &Settings,
        actions: &mut Vec<Action>,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        let wait = if purpose == Purpose::Watch { settings.watch_wait } else { 0 };
        let deadline = now + wait + settings.response_timeout;
        self.in_flight.push(InFlightPoll { id, replica, after, purpose, sent_at: now, deadline });
        actions.push(Action::Poll { poll: id, replica, after, wait });
    }

    pub(crate) fn cancel_all(&mut self, actions: &mut Vec<Action>) {
        self.hedge_at = None;
        actions.extend(self.in_flight.drain(..).map(|poll| Action::CancelPoll(poll.id)));
    }

    pub(crate) fn schedule(&mut self, at: Micros) {
        self.next_at = Some(at);
    }

    /// Schedules the next poll, at the replica that responded.
    pub(crate) fn succeeded(&mut self, now: Micros, poll: &InFlightPoll, settings: &Settings) {
        self.consecutive_failures = 0;
        self.replica = poll.replica;
        self.next_at = Some((poll.sent_at + settings.min_poll_interval).max(now));
    }

    /// Schedules a poll of the replica after `failed`, with backoff, and not before the end of a `Retry-After`.
    pub(crate) fn back_off(
        &mut self,
        now: Micros,
        failed: usize,
        retry_after: Option<Micros>,
        settings: &Settings,
    ) {
        self.hedge_at = None;
        self.replica = (failed + 1) % settings.replicas;
        let uncapped = settings.initial_backoff << self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures += 1;
        let random = self.rng.f64();
        let backoff = uncapped.min(settings.max_backoff) as f64;
        let backoff = (backoff * (MIN_BACKOFF_FACTOR + BACKOFF_JITTER * random)) as Micros;
        // Watchers with the same `Retry-After` must not poll again at the same instant, and none may poll before it.
        let jittered = |wait: Micros| (wait as f64 * (1.0 + RETRY_AFTER_JITTER * random)) as Micros;
        let retry_after = retry_after.map_or(0, jittered);
        self.next_at = Some(now + backoff.max(retry_after));
    }

    /// Resets the failure count, as the next poll confirms a list and is not a retry after a failure.
    pub(crate) fn reset_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Schedules the next poll after a list of `replica` was withheld. The first time, another replica is polled
    /// immediately.
    pub(crate) fn seek_confirmation(&mut self, now: Micros, replica: usize, settings: &Settings) {
        let is_first = self.consecutive_failures == 0;
        self.back_off(now, replica, None, settings);
        if is_first {
            self.next_at = Some(now + if settings.replicas > 1 { 0 } else { settings.min_poll_interval });
        }
    }

    /// Skips a replica if there are others.
    pub(crate) fn avoid(&mut self, replica: usize, settings: &Settings) {
        if settings.replicas > 1 && self.replica == replica {
            self.replica = (self.replica + 1) % settings.replicas;
        }
    }
}

/// Path and query of a poll.
pub(crate) fn request_path(after: Option<Version>, wait: Micros, services: &[String]) -> String {
    let mut path = format!("/v1/watch?wait_ms={}", wait / MICROS_PER_MILLISECOND);
    if let Some(after) = after {
        path.push_str(&format!("&epoch={}&after={}", after.epoch, after.index));
    }
    if !services.is_empty() {
        path.push_str(&format!("&services={}", services.join(",")));
    }
    path
}

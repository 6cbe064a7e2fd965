//! The state machine: handles events, holds the list and decides which responses are used.
//!
//! A list of an older version or epoch than the known one is never used, nor is a response for other services than were
//! polled (see `services`). A list that removes too many servers is used only after it is confirmed (see
//! `confirmation`).

use crate::confirmation::{self, Removal, WithheldList};
use crate::freshness::Freshness;
use crate::list::{EndpointList, Entry, ListUpdate, Status, Version};
use crate::polls::{self, InFlightPoll, Polls, Purpose};
use crate::save_schedule::SaveSchedule;
use crate::services::{self, EmptyServices};
use crate::{Action, AppliedList, Event, Micros, PollError, Report, Settings};

/// Watches the registry's list; see the crate documentation.
pub struct RegistryWatcher {
    settings: Settings,
    list: Option<EndpointList>,
    /// The list was carried over from other watched services, limited to the present ones, and may be incomplete.
    /// Changes can't be applied to it, its digest is not compared, and it is not written to the cache file.
    is_carried_over: bool,
    polls: Polls,
    withheld: Option<WithheldList>,
    empty_services: EmptyServices,
    save_schedule: SaveSchedule,
    freshness: Freshness,
}

impl RegistryWatcher {
    /// Creates a watcher that has not started. `seed` is for its jitter and should differ between watchers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let replicas = settings.replicas.max(1);
        let services = services::normalized(settings.services);
        Self {
            settings: Settings { replicas, services, ..settings },
            list: None,
            is_carried_over: false,
            polls: Polls::new(replicas, seed),
            withheld: None,
            empty_services: EmptyServices::default(),
            save_schedule: SaveSchedule::new(),
            freshness: Freshness::default(),
        }
    }

    /// The list in use. After a change of services it has the entries of the previous list that are still watched,
    /// until there is a list of the new services.
    pub fn list(&self) -> Option<&EndpointList> {
        self.list.as_ref()
    }

    /// Age of the list: it has every change that was acknowledged longer ago than this. Counted from the start of the
    /// watcher until a replica has responded.
    pub fn age(&self, now: Micros) -> Micros {
        self.freshness.age(now)
    }

    /// Path and query of the request for an [`Action::Poll`].
    pub fn poll_path(&self, after: Option<Version>, wait: Micros) -> String {
        polls::request_path(after, wait, &self.settings.services)
    }

    /// Whether a list waits for confirmation.
    pub fn withholds_list(&self) -> bool {
        self.withheld.is_some()
    }

    /// When [`Event::Timer`] is due, unless another event is handled before.
    pub fn next_timer(&self) -> Option<Micros> {
        let stale_at = self.freshness.stale_at(self.settings.stale_after);
        [self.polls.next_timer(), self.save_schedule.due_at(), stale_at].into_iter().flatten().min()
    }

    /// Handles an event that happens at `now`, and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start(cached) => self.start(now, cached, actions),
            Event::ServicesChanged(services) => {
                self.change_services(now, services::normalized(services), actions);
            }
            // A response to a poll that was cancelled or timed out is ignored.
            Event::Response { poll, update } => {
                if let Some(poll) = self.polls.take(poll) {
                    self.on_response(now, &poll, update, actions);
                }
            }
            Event::PollFailed { poll, retry_after, error } => {
                if let Some(poll) = self.polls.take(poll) {
                    self.on_failure(now, &poll, retry_after, error, actions);
                }
            }
            Event::Timer => {}
        }
        self.run_due(now, actions);
    }

    fn start(&mut self, now: Micros, cached: Option<EndpointList>, actions: &mut Vec<Action>) {
        self.freshness.start(now);
        self.polls.schedule(now);
        let Some(mut list) = cached else { return };
        self.is_carried_over = list.services != self.settings.services;
        if self.is_carried_over {
            services::restrict(&mut list, &self.settings.services);
        }
        // If a cached list of other services has no watched entry, it is not applied: the list that the driver has from
        // elsewhere is better than an empty one.
        if !self.is_carried_over || !list.entries.is_empty() {
            actions.push(apply_all(&list));
        }
        self.list = Some(list);
        self.report_empty_services(actions);
    }

    /// Changes the watched services. Entries of services that are still watched stay in use until there is a complete
    /// list; the others are dropped at once.
    fn change_services(&mut self, now: Micros, services: Vec<String>, actions: &mut Vec<Action>) {
        if services == self.settings.services {
            return;
        }
        self.settings.services = services;
        self.empty_services.retain(&self.settings.services);
        let has_started = self.polls.has_started();
        self.polls.cancel_all(actions);
        // The withheld list was of other services.
        self.withheld = None;
        self.save_schedule.cancel();
        if has_started {
            self.polls.schedule(now);
        }
        if let Some(list) = &mut self.list {
            self.is_carried_over = true;
            if services::restrict(list, &self.settings.services) {
                actions.push(apply_all(list));
            }
        }
    }

    /// Runs everything that is due: timeouts, polls, a save, the check for staleness.
    fn run_due(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(poll) = self.polls.take_expired(now) {
            actions.push(Action::CancelPoll(poll.id));
            self.on_failure(now, &poll, None, PollError::Timeout, actions);
        }
        self.polls.hedge_if_due(now, &self.settings, actions);
        if self.polls.take_next(now) {
            self.send_next_poll(now, actions);
        }
        if self.save_schedule.take_due(now) {
            actions.push(Action::Save);
        }
        let change = self.freshness.change(now, self.settings.stale_after);
        actions.extend(change.map(Action::Report));
    }

    fn send_next_poll(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.withheld.is_some() {
            return self.polls.send_confirmation(now, &self.settings, actions);
        }
        let after = self.list.as_ref().filter(|_| !self.is_carried_over).map(|list| list.version);
        self.polls.send_next(now, after, &self.settings, actions);
    }

    fn on_failure(
        &mut self,
        now: Micros,
        poll: &InFlightPoll,
        retry_after: Option<Micros>,
        error: PollError,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Report(Report::PollFailed { replica: poll.replica, error }));
        self.back_off_if_idle(now, poll.replica, retry_after);
    }

    /// Backs off, unless the other poll of a hedged pair may still succeed.
    fn back_off_if_idle(&mut self, now: Micros, replica: usize, retry_after: Option<Micros>) {
        if self.polls.is_idle() {
            self.polls.back_off(now, replica, retry_after, &self.settings);
        }
    }

    fn on_response(
        &mut self,
        now: Micros,
        poll: &InFlightPoll,
        update: ListUpdate,
        actions: &mut Vec<Action>,
    ) {
        if let Err(error) = services::check_response(&update, &self.settings.services) {
            return self.on_failure(now, poll, None, error, actions);
        }
        if let Some(first) = update.unreadable.first() {
            actions.push(Action::Report(Report::UnreadableEntry(first.clone())));
        }
        if let Some(report) = self.reason_to_reject(poll.replica, &update) {
            actions.push(Action::Report(report));
            return self.back_off_if_idle(now, poll.replica, None);
        }
        let empty = EndpointList::default();
        let known = self.list.as_ref().unwrap_or(&empty);
        let Some(new) = known.updated(&update, poll.after) else {
            // The changes are to a list that this watcher does not have: it needs the complete list.
            self.polls.cancel_all(actions);
            let purpose = Purpose::Read;
            return self.polls.send(now, poll.replica, None, purpose, &self.settings, actions);
        };
        let max_share = self.settings.max_removed_share;
        if let Some(removal) = confirmation::excessive_removal(known, &new, &update, max_share) {
            if !self.confirm(now, poll.replica, update.version, actions) {
                return self.withhold(now, poll.replica, &update, removal, actions);
            }
        } else if self.withheld.take().is_some() {
            // The other replica's list is used even if it is older than the withheld one: if that one was right, its
            // changes will arrive from this replica too, and are confirmed then.
            actions.push(Action::Report(Report::Unconfirmed(poll.replica)));
        }
        self.use_list(now, poll, update, new, actions);
    }

    /// Returns why a list can't be used, regardless of its entries.
    fn reason_to_reject(&self, replica: usize, update: &ListUpdate) -> Option<Report> {
        let known = self.list.as_ref()?;
        let version = update.version;
        if version < known.version {
            return Some(Report::OlderVersion { replica, version });
        }
        if version == known.version && update.digest != known.digest && !self.is_carried_over {
            return Some(Report::DigestMismatch { replica, version });
        }
        None
    }

    fn use_list(
        &mut self,
        now: Micros,
        poll: &InFlightPoll,
        update: ListUpdate,
        new: EndpointList,
        actions: &mut Vec<Action>,
    ) {
        self.polls.cancel_all(actions);
        self.polls.succeeded(now, poll, &self.settings);
        self.freshness.observe(now, poll.sent_at, &update);
        let was_carried_over = std::mem::take(&mut self.is_carried_over);
        // At an equal version entries may still differ, if a part of a withheld list was applied before.
        let has_changed = was_carried_over
            || self.list.as_ref().is_none_or(|known| known.version < update.version || *known != new);
        let full = update.snapshot || self.list.is_none();
        let list = self.list.insert(new);
        if !has_changed {
            return;
        }
        let entries = if full { list.entries.values().cloned().collect() } else { update.endpoints };
        actions.push(Action::Apply(AppliedList { version: update.version, full, entries }));
        self.save_schedule.request(now, self.settings.min_save_interval);
        self.report_empty_services(actions);
    }

    /// Returns whether a list that removes too many servers confirms the withheld one, and if so stops withholding it.
    fn confirm(&mut self, now: Micros, replica: usize, version: Version, actions: &mut Vec<Action>) -> bool {
        let settings = &self.settings;
        let confirms = |list: &mut WithheldList| list.is_confirmed_by(replica, version, now, settings);
        let is_confirmed = self.withheld.take_if(confirms).is_some();
        if is_confirmed {
            actions.push(Action::Report(Report::Confirmed(replica)));
        }
        is_confirmed
    }

    /// Withholds a list, except for its explicit drains and removals, which are applied.
    fn withhold(
        &mut self,
        now: Micros,
        replica: usize,
        update: &ListUpdate,
        removal: Removal,
        actions: &mut Vec<Action>,
    ) {
        let version = update.version;
        self.polls.cancel_all(actions);
        let withheld_from = match &mut self.withheld {
            // The same replica again, or another one that does not have the withheld list yet.
            Some(withheld) => {
                withheld.version = withheld.version.max(version);
                withheld.replica
            }
            None => {
                self.withheld = Some(WithheldList { replica, version, since: now });
                let Removal { removed, active_before } = removal;
                actions.push(Action::Report(Report::Withheld { replica, version, removed, active_before }));
                self.polls.reset_failures();
                replica
            }
        };
        self.apply_explicit_removals(update, actions);
        self.polls.seek_confirmation(now, replica, &self.settings);
        // A replica can't confirm its own list.
        self.polls.avoid(withheld_from, &self.settings);
    }

    fn apply_explicit_removals(&mut self, update: &ListUpdate, actions: &mut Vec<Action>) {
        let is_explicit = |entry: &&Entry| confirmation::is_explicit_removal(entry);
        let entries: Vec<Entry> = update.endpoints.iter().filter(is_explicit).cloned().collect();
        let Some(list) = self.list.as_mut().filter(|_| !entries.is_empty()) else { return };
        for entry in &entries {
            if entry.status == Status::Removed {
                list.entries.remove(&entry.name);
            } else {
                list.entries.insert(entry.name.clone(), entry.clone());
            }
        }
        let version = list.version;
        actions.push(Action::Apply(AppliedList { version, full: false, entries }));
        self.report_empty_services(actions);
    }

    fn report_empty_services(&mut self, actions: &mut Vec<Action>) {
        // A list that was carried over does not tell which of the present services have servers.
        let Some(list) = self.list.as_ref().filter(|_| !self.is_carried_over) else { return };
        let reports = self.empty_services.update(list, &self.settings.services);
        actions.extend(reports.into_iter().map(Action::Report));
    }
}

fn apply_all(list: &EndpointList) -> Action {
    let entries = list.entries.values().cloned().collect();
    Action::Apply(AppliedList { version: list.version, full: true, entries })
}

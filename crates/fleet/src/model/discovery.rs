//! The platform's discovery service: it learns of changes with a delay, publishes them in rounds, and answers fetches
//! one at a time. It keeps a log of the changes, so that a reader of any version can be brought up to date.

use crate::Micros;
use lotusmoor_balancer::EndpointStatus;

/// A server's entry in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Its status.
    pub status: EndpointStatus,
    /// When its process started; `None` for one that was running before the simulation.
    pub started: Option<Micros>,
}

/// A change of the list: the server, its entry, and when its state changed.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// The server.
    pub server: usize,
    /// Its entry from then on.
    pub entry: Entry,
    /// When the server's state changed.
    pub since: Micros,
}

/// The list and the service that publishes it.
#[derive(Default)]
pub struct Discovery {
    /// It is down: it neither pushes updates nor answers fetches.
    pub down: bool,
    /// All changes; a version is the number of changes that it includes.
    log: Vec<Change>,
    /// Number of changes published so far.
    published: usize,
    /// For each published version, since when it could be pushed or fetched.
    reachable: Vec<Micros>,
    /// When the fetches accepted so far are answered.
    busy_until: Micros,
}

impl Discovery {
    /// Records a change, which the next round publishes; returns the version that includes it.
    pub fn record(&mut self, change: Change) -> usize {
        self.log.push(change);
        self.log.len()
    }

    /// Publishes the recorded changes; returns whether there are any.
    pub fn publish(&mut self, now: Micros) -> bool {
        let changed = self.published < self.log.len();
        self.published = self.log.len();
        self.mark_reachable(now);
        changed
    }

    /// Takes the service down or brings it back.
    pub fn set_down(&mut self, now: Micros, down: bool) {
        self.down = down;
        self.mark_reachable(now);
    }

    fn mark_reachable(&mut self, now: Micros) {
        if !self.down {
            self.reachable.resize(self.published, now);
        }
    }

    /// Since when that version could be pushed or fetched; `None` if it never could, because it was not published or
    /// discovery has been down since.
    pub fn reachable_since(&self, version: usize) -> Option<Micros> {
        self.reachable.get(version.checked_sub(1)?).copied()
    }

    /// The newest published version.
    pub fn version(&self) -> usize {
        self.published
    }

    /// The published changes after that version.
    pub fn changes_after(&self, version: usize) -> &[Change] {
        &self.log[version.min(self.published)..self.published]
    }

    /// The changes up to and including that version.
    pub fn changes_until(&self, version: usize) -> &[Change] {
        &self.log[..version]
    }

    /// Handles a fetch; returns when it is answered, or when it has failed. A fetch whose caller has timed out still
    /// takes its processing time, because the service does not notice that.
    pub fn fetch(&mut self, now: Micros, takes: Micros, timeout: Micros) -> Result<Micros, Micros> {
        if self.down {
            return Err(now + timeout);
        }
        let starts = self.busy_until.max(now);
        self.busy_until = starts + takes;
        if starts - now > timeout { Err(now + timeout) } else { Ok(self.busy_until) }
    }
}

#[cfg(test)]
mod tests;

//! The list service as the platform has it: it learns of changes late, tells them in rounds, and answers calls one
//! at a time. What it was told and when is kept, so that any reader's version can be brought up to date.

use crate::Micros;
use lotusmoor_balancer::EndpointStatus;

/// A server's entry as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Its state.
    pub status: EndpointStatus,
    /// Start of its process; `None` is long ago.
    pub started: Option<Micros>,
}

/// A change: the server, its entry, and when it became true.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// The server.
    pub server: usize,
    /// Its entry from then on.
    pub entry: Entry,
    /// When it became true.
    pub since: Micros,
}

/// The list and its service.
#[derive(Default)]
pub struct Discovery {
    /// It neither tells nor answers.
    pub down: bool,
    /// All changes; a version is how many of them it holds.
    log: Vec<Change>,
    /// Changes that can be told by now.
    published: usize,
    /// For each version that has been told or could be asked for, since when.
    reachable: Vec<Micros>,
    /// When the calls that it has are answered.
    busy_until: Micros,
}

impl Discovery {
    /// Takes in a change, which the next round tells; gives the version that has it.
    pub fn record(&mut self, change: Change) -> usize {
        self.log.push(change);
        self.log.len()
    }

    /// A round: what was learnt can be told from now on. Gives whether there is anything new.
    pub fn publish(&mut self, now: Micros) -> bool {
        let changed = self.published < self.log.len();
        self.published = self.log.len();
        self.mark_reachable(now);
        changed
    }

    /// It goes away, or is back.
    pub fn set_down(&mut self, now: Micros, down: bool) {
        self.down = down;
        self.mark_reachable(now);
    }

    fn mark_reachable(&mut self, now: Micros) {
        if !self.down {
            self.reachable.resize(self.published, now);
        }
    }

    /// Since when discovery has had that version and could be reached; `None` where it never could.
    pub fn reachable_since(&self, version: usize) -> Option<Micros> {
        self.reachable.get(version.checked_sub(1)?).copied()
    }

    /// The newest version that can be told.
    pub fn version(&self) -> usize {
        self.published
    }

    /// Changes after that version, up to the newest.
    pub fn changes_after(&self, version: usize) -> &[Change] {
        &self.log[version.min(self.published)..self.published]
    }

    /// Changes up to that version.
    pub fn changes_until(&self, version: usize) -> &[Change] {
        &self.log[..version]
    }

    /// A call comes in; gives when it is answered, or when it has failed. One that nobody waits for any more still
    /// takes its time, as its caller's leaving is not seen.
    pub fn call(&mut self, now: Micros, takes: Micros, timeout: Micros) -> Result<Micros, Micros> {
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

//! The list service as the platform has it: it learns of changes late, tells them in rounds, and answers calls one
//! at a time. What it was told and when is kept, so that any reader's version can be brought up to date.

use crate::Micros;
use linenproxy::Status;

/// A server's entry as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Its state.
    pub status: Status,
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
    /// When the calls that it has are answered.
    busy_until: Micros,
}

impl Discovery {
    /// Takes in a change, which the next round tells; gives the version that has it.
    pub fn learn(&mut self, change: Change) -> usize {
        self.log.push(change);
        self.log.len()
    }

    /// A round: what was learnt can be told from now on. Gives whether there is anything new.
    pub fn publish(&mut self) -> bool {
        let news = self.published < self.log.len();
        self.published = self.log.len();
        news
    }

    /// The newest version that can be told.
    pub fn version(&self) -> usize {
        self.published
    }

    /// Changes after that version, up to the newest.
    pub fn since(&self, version: usize) -> &[Change] {
        &self.log[version.min(self.published)..self.published]
    }

    /// Changes up to that version.
    pub fn until(&self, version: usize) -> &[Change] {
        &self.log[..version]
    }

    /// A call comes in; gives when it is answered, or when it has failed. One that nobody waits for any more still
    /// takes its time, as its caller's leaving is not seen.
    pub fn call(&mut self, now: Micros, takes: Micros, timeout: Micros) -> Result<Micros, Micros> {
        if self.down {
            return Err(now + timeout);
        }
        let begins = self.busy_until.max(now);
        self.busy_until = begins + takes;
        if begins - now > timeout { Err(now + timeout) } else { Ok(self.busy_until) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_a_hundred_calls_at_once_those_that_fit_into_the_time_out_are_answered() {
        let mut discovery = Discovery::default();
        let calls: Vec<_> = (0..100).map(|_| discovery.call(0, 50_000, 2_000_000)).collect();
        assert_eq!(calls.iter().filter(|c| c.is_ok()).count(), 41);
        assert_eq!((calls[0], calls[99]), (Ok(50_000), Err(2_000_000)));
    }

    #[test]
    fn a_reader_is_told_what_came_after_its_version_once_it_is_published() {
        let mut discovery = Discovery::default();
        let entry = Entry { status: Status::Ready, started: None };
        discovery.learn(Change { server: 1, entry, since: 5 });
        assert_eq!(discovery.since(0).len(), 0);
        assert!(discovery.publish() && !discovery.publish());
        assert_eq!((discovery.version(), discovery.since(0).len(), discovery.since(1).len()), (1, 1, 0));
    }
}

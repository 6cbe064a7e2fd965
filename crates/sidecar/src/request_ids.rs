//! Correlation ids of requests. An id that is already known is rejected, so that an endpoint never sees one id for two
//! requests.

mod id_table;
mod shared_file;

use crate::log::log_line;
use id_table::{IdHash, IdTable, InsertError, Slot, Tick};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an id stays known after its request has completed: a duplicate of the request may arrive a little later
/// than the response.
const RETENTION: Duration = Duration::from_secs(5);
/// How long the id of an open request is known, should its process end without completing it.
const MAX_OPEN_TIME: Duration = Duration::from_secs(3600);

/// The ids of open requests, and of recently completed ones that may have run.
#[derive(Clone)]
pub struct RequestIds(Rc<KnownIds>);

struct KnownIds {
    table: IdTable,
    started_at: Instant,
    /// The time from the table's epoch to `started_at`.
    epoch_age: Duration,
}

/// Why an id can't be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenIdError {
    /// It is the id of an open request, or of one that was recently sent to an endpoint.
    Known,
    /// As many ids are known as there is memory for.
    Full,
}

/// The id of an open request. The request is completed when this is dropped.
pub struct OpenRequestId {
    ids: RequestIds,
    hash: IdHash,
    slot: Slot,
    may_have_run: Cell<bool>,
}

impl RequestIds {
    /// Remembers up to that many ids.
    pub fn new(max_ids: usize) -> Self {
        Self::with_table(IdTable::new(max_ids), Duration::ZERO)
    }

    /// The same, in a file of `$TMPDIR` that the processes which listen on that address share.
    pub fn shared(max_ids: usize, listen: SocketAddr) -> Self {
        let Some(directory) = std::env::var_os("TMPDIR") else { return Self::new(max_ids) };
        // The name is part of the stored format, as the other process of an upgrade may be of another version.
        let path = PathBuf::from(directory).join(format!("tinflow-{listen}.ids"));
        match shared_file::map_at_startup(&path, max_ids) {
            Ok(slots) => Self::with_table(IdTable::shared(slots), shared_file::monotonic_time()),
            Err(e) => {
                log_line!("{} can't be used: {e}: ids of the other process are not known", path.display());
                Self::new(max_ids)
            }
        }
    }

    fn with_table(table: IdTable, epoch_age: Duration) -> Self {
        Self(Rc::new(KnownIds { table, started_at: Instant::now(), epoch_age }))
    }

    /// Opens an id.
    pub fn open(&self, id: &[u8], now: Instant) -> Result<OpenRequestId, OpenIdError> {
        let (hash, expires) = (IdHash::of(id), self.0.tick(now + MAX_OPEN_TIME));
        let slot = self.0.table.insert(hash, self.0.tick(now), expires).map_err(|e| match e {
            InsertError::Known => OpenIdError::Known,
            InsertError::Full => OpenIdError::Full,
        })?;
        Ok(OpenRequestId { ids: self.clone(), hash, slot, may_have_run: Cell::new(false) })
    }
}

impl KnownIds {
    fn tick(&self, at: Instant) -> Tick {
        Tick::after(self.epoch_age + at.saturating_duration_since(self.started_at))
    }
}

impl OpenRequestId {
    /// Records whether the request may have run. If not, its id need not be known once it is completed.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        let known = &self.ids.0;
        if self.may_have_run.get() {
            known.table.set_expiry(self.slot, self.hash, known.tick(Instant::now() + RETENTION));
        } else {
            known.table.remove(self.slot);
        }
    }
}

#[cfg(test)]
mod tests;

//! The log in the file.

use super::{COMMITTED, LOG, PURGED, Store, StoreError, VOTE};
use crate::raft::{LogEntry, LogId, StorageError, Types, Vote};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{
    AnyError, EntryPayload, ErrorSubject, ErrorVerb, OptionalSend, RaftLogId, RaftLogReader, StorageIOError,
};
use redb::{ReadableDatabase, ReadableTable};
use std::fmt::Debug;
use std::ops::RangeBounds;

/// openraft stops at an error of its store: nothing is acknowledged from then on.
fn failed(verb: ErrorVerb, error: StoreError) -> StorageError {
    tracing::error!("the store failed: {error}");
    StorageError::IO { source: StorageIOError::new(ErrorSubject::Store, verb, AnyError::new(&error)) }
}

pub(super) fn read_failed(error: StoreError) -> StorageError {
    failed(ErrorVerb::Read, error)
}

pub(super) fn write_failed(error: StoreError) -> StorageError {
    failed(ErrorVerb::Write, error)
}

/// Whether an entry carries services.
pub(super) fn has_services(entry: &LogEntry) -> bool {
    matches!(&entry.payload, EntryPayload::Normal(command) if command.has_services())
}

impl Store {
    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<LogEntry>, StoreError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(LOG)?;
        let mut entries = Vec::new();
        for row in table.range(range)? {
            let (index, value) = row?;
            entries.push(self.entry(index.value(), value.value())?);
        }
        Ok(entries)
    }

    fn entry(&self, index: u64, value: &[u8]) -> Result<LogEntry, StoreError> {
        let what = || format!("log entry {index}");
        super::read_plain(&what(), &self.open_value(&what(), value)?)
    }

    fn state(&self) -> Result<LogState<Types>, StoreError> {
        let purged: Option<LogId> = self.get(PURGED)?;
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(LOG)?;
        let last = match table.last()? {
            Some((index, value)) => Some(*self.entry(index.value(), value.value())?.get_log_id()),
            None => purged,
        };
        Ok(LogState { last_purged_log_id: purged, last_log_id: last })
    }

    fn append_all(&self, entries: impl IntoIterator<Item = LogEntry>) -> Result<(), StoreError> {
        self.change(|transaction| {
            let mut table = transaction.open_table(LOG)?;
            for entry in entries {
                let what = || format!("log entry {}", entry.log_id.index);
                self.can_hold(&what(), has_services(&entry))?;
                let plain = serde_json::to_vec(&entry);
                let plain = plain.map_err(|e| StoreError::Spoilt { what: what(), error: e.into() })?;
                table.insert(entry.log_id.index, self.format.seal(&plain).as_slice())?;
            }
            Ok(())
        })
    }

    fn drop_entries(&self, range: impl RangeBounds<u64>, purged: Option<LogId>) -> Result<(), StoreError> {
        self.change(|transaction| {
            let mut table = transaction.open_table(LOG)?;
            table.retain_in(range, |_, _| false)?;
            if let Some(purged) = purged {
                let plain = serde_json::to_vec(&purged);
                let plain = plain.map_err(|e| StoreError::Spoilt { what: PURGED.into(), error: e.into() })?;
                transaction.open_table(super::ONE)?.insert(PURGED, self.format.seal(&plain).as_slice())?;
            }
            Ok(())
        })
    }

    /// Reads all that is there, as a start does: what is spoilt is found before anything is served.
    pub fn verify(&self) -> Result<(), StoreError> {
        self.entries(..)?;
        let _: Option<Vote> = self.get(VOTE)?;
        let _: Option<Option<LogId>> = self.get(COMMITTED)?;
        let _: Option<LogId> = self.get(PURGED)?;
        self.snapshot()?;
        Ok(())
    }
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: R,
    ) -> Result<Vec<LogEntry>, StorageError> {
        self.entries(range).map_err(read_failed)
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError> {
        self.state().map_err(read_failed)
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote) -> Result<(), StorageError> {
        self.put(VOTE, vote).map_err(write_failed)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote>, StorageError> {
        self.get(VOTE).map_err(read_failed)
    }

    async fn save_committed(&mut self, committed: Option<LogId>) -> Result<(), StorageError> {
        self.put(COMMITTED, &committed).map_err(write_failed)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId>, StorageError> {
        self.get::<Option<LogId>>(COMMITTED).map(Option::flatten).map_err(read_failed)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = LogEntry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let written = self.append_all(entries);
        let told = written.as_ref().map(|_| ()).map_err(|e| std::io::Error::other(e.to_string()));
        callback.log_io_completed(told);
        written.map_err(write_failed)
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.drop_entries(log_id.index.., None).map_err(write_failed)
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.drop_entries(..=log_id.index, Some(log_id)).map_err(write_failed)
    }
}

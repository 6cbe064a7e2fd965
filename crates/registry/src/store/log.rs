//! The replicated log and the replica's vote in the database.

use super::{COMMITTED, LOG, PURGED, SINGLETONS, Store, StoreError, VOTE};
use crate::raft::{LogEntry, LogId, StorageError, TypeConfig, Vote};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{
    AnyError, EntryPayload, ErrorSubject, ErrorVerb, OptionalSend, RaftLogId, RaftLogReader, StorageIOError,
};
use redb::{ReadableDatabase, ReadableTable};
use std::fmt::Debug;
use std::ops::RangeBounds;

/// openraft stops after an error of its store, so that nothing is acknowledged from then on.
fn storage_error(verb: ErrorVerb, error: StoreError) -> StorageError {
    tracing::error!("the store failed: {error}");
    StorageError::IO { source: StorageIOError::new(ErrorSubject::Store, verb, AnyError::new(&error)) }
}

pub(super) fn read_failed(error: StoreError) -> StorageError {
    storage_error(ErrorVerb::Read, error)
}

pub(super) fn write_failed(error: StoreError) -> StorageError {
    storage_error(ErrorVerb::Write, error)
}

/// Name of a log entry in error messages.
pub(super) fn entry_name(index: u64) -> String {
    format!("log entry {index}")
}

/// Whether the command of an entry names services.
pub(super) fn has_services(entry: &LogEntry) -> bool {
    matches!(&entry.payload, EntryPayload::Normal(command) if command.has_services())
}

impl Store {
    fn read_entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<LogEntry>, StoreError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(LOG)?;
        let mut entries = Vec::new();
        for row in table.range(range)? {
            let (index, value) = row?;
            entries.push(self.decode_entry(index.value(), value.value())?);
        }
        Ok(entries)
    }

    fn decode_entry(&self, index: u64, value: &[u8]) -> Result<LogEntry, StoreError> {
        super::decode(&entry_name(index), value)
    }

    fn log_state(&self) -> Result<LogState<TypeConfig>, StoreError> {
        let purged: Option<LogId> = self.get(PURGED)?;
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(LOG)?;
        let last = match table.last()? {
            Some((index, value)) => Some(*self.decode_entry(index.value(), value.value())?.get_log_id()),
            None => purged,
        };
        Ok(LogState { last_purged_log_id: purged, last_log_id: last })
    }

    fn append_entries(&self, entries: impl IntoIterator<Item = LogEntry>) -> Result<(), StoreError> {
        self.commit(|transaction| {
            let mut table = transaction.open_table(LOG)?;
            for entry in entries {
                let name = entry_name(entry.log_id.index);
                self.check_services(&name, has_services(&entry))?;
                table.insert(entry.log_id.index, self.encode(&name, &entry)?.as_slice())?;
            }
            Ok(())
        })
    }

    fn remove_entries(&self, range: impl RangeBounds<u64>, purged: Option<LogId>) -> Result<(), StoreError> {
        self.commit(|transaction| {
            let mut table = transaction.open_table(LOG)?;
            table.retain_in(range, |_, _| false)?;
            if let Some(purged) = purged {
                let value = self.encode(PURGED, &purged)?;
                transaction.open_table(SINGLETONS)?.insert(PURGED, value.as_slice())?;
            }
            Ok(())
        })
    }

    /// Decodes every stored value, so that a replica with a corrupt value does not start.
    pub fn verify(&self) -> Result<(), StoreError> {
        self.read_entries(..)?;
        let _: Option<Vote> = self.get(VOTE)?;
        let _: Option<Option<LogId>> = self.get(COMMITTED)?;
        let _: Option<LogId> = self.get(PURGED)?;
        self.load_snapshot()?;
        Ok(())
    }
}

impl RaftLogReader<TypeConfig> for Store {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: R,
    ) -> Result<Vec<LogEntry>, StorageError> {
        self.read_entries(range).map_err(read_failed)
    }
}

impl RaftLogStorage<TypeConfig> for Store {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, StorageError> {
        self.log_state().map_err(read_failed)
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

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<TypeConfig>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = LogEntry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let written = self.append_entries(entries);
        let completion = written.as_ref().map(|_| ()).map_err(|e| std::io::Error::other(e.to_string()));
        callback.log_io_completed(completion);
        written.map_err(write_failed)
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.remove_entries(log_id.index.., None).map_err(write_failed)
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.remove_entries(..=log_id.index, Some(log_id)).map_err(write_failed)
    }
}

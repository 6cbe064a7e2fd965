//! What a replica keeps on disk: log, vote and snapshot, in one redb file. What is written is on disk when a call
//! returns, and every value carries a checksum of its own, so that a byte that a disk changed is not taken for data.

mod format;
mod log;
mod machine;

pub use format::{Format, FormatError};
pub use machine::{Machine, Shared, Snapshot};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use std::sync::Arc;

/// Entries of the log by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Everything of which there is one.
const ONE: TableDefinition<&str, &[u8]> = TableDefinition::new("one");

const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const SNAPSHOT: &str = "snapshot";
const IDENTITY: &str = "identity";
/// The form of the file, as plain digits: read before anything else.
const FORM: &str = "form";

/// Why a replica's file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// It can't be read or written, or is not whole.
    #[error("{0}")]
    Database(#[from] redb::Error),
    /// A value in it is not what was written.
    #[error("{what}: {error}")]
    Spoilt {
        /// Which.
        what: String,
        /// What is wrong.
        error: FormatError,
    },
    /// It was written by a newer program.
    #[error("the file has form {found}, and this program knows up to {known}")]
    Newer {
        /// Its form.
        found: u32,
        /// The newest that is known.
        known: u32,
    },
    /// It belongs to another replica.
    #[error("the folder belongs to replica {found}, not {wanted}")]
    Other {
        /// Whose it is.
        found: u64,
        /// Who wants it.
        wanted: u64,
    },
}

/// All of redb's errors are one to whoever reads.
macro_rules! from_redb {
    ($($error:ident),*) => {$(
        impl From<redb::$error> for StoreError {
            fn from(error: redb::$error) -> Self {
                Self::Database(error.into())
            }
        }
    )*};
}
from_redb!(DatabaseError, TransactionError, TableError, StorageError, CommitError);

/// A replica's file.
#[derive(Clone)]
pub struct Store {
    database: Arc<Database>,
    format: Format,
}

impl Store {
    /// Opens the file of that folder, or makes it; values are written in that format.
    pub fn open(folder: &Path, format: Format) -> Result<Self, StoreError> {
        let database = Database::create(folder.join("roster.redb"))?;
        Self::over(database, format)
    }

    /// The same over an open database.
    pub fn over(database: Database, format: Format) -> Result<Self, StoreError> {
        let transaction = database.begin_write()?;
        let found = {
            transaction.open_table(LOG)?;
            let one = transaction.open_table(ONE)?;
            let found = one.get(FORM)?.and_then(|v| std::str::from_utf8(v.value()).ok()?.parse().ok());
            found.unwrap_or(format.number())
        };
        if found > Format::NEWEST.number() {
            return Err(StoreError::Newer { found, known: Format::NEWEST.number() });
        }
        transaction.commit()?;
        let store = Self { database: Arc::new(database), format };
        if found != format.number() {
            store.rewrite()?;
        }
        store.put_plain(FORM, format.number().to_string().as_bytes())?;
        Ok(store)
    }

    /// Writes every value anew in this store's format, all or none.
    fn rewrite(&self) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        {
            let mut one = transaction.open_table(ONE)?;
            for key in [VOTE, COMMITTED, PURGED, SNAPSHOT, IDENTITY] {
                let value = one.get(key)?.map(|v| v.value().to_vec());
                if let Some(value) = value {
                    let plain = self.open_value(key, &value)?;
                    one.insert(key, self.format.seal(&plain).as_slice())?;
                }
            }
            let mut log = transaction.open_table(LOG)?;
            let indexes: Vec<u64> = redb::ReadableTable::iter(&log)?
                .map(|e| e.map(|(k, _)| k.value()))
                .collect::<Result<_, _>>()?;
            for index in indexes {
                let value = log.get(index)?.map(|v| v.value().to_vec()).unwrap_or_default();
                let plain = self.open_value(&format!("log entry {index}"), &value)?;
                log.insert(index, self.format.seal(&plain).as_slice())?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Whose file it is: the number and identity that were written first, which are these where there are none.
    pub fn identity(&self, id: u64, drawn: u64) -> Result<u64, StoreError> {
        if let Some((found, identity)) = self.get::<(u64, u64)>(IDENTITY)? {
            return if found == id { Ok(identity) } else { Err(StoreError::Other { found, wanted: id }) };
        }
        self.put(IDENTITY, &(id, drawn))?;
        Ok(drawn)
    }

    fn open_value(&self, what: &str, value: &[u8]) -> Result<Vec<u8>, StoreError> {
        format::open(value).map_err(|error| StoreError::Spoilt { what: what.to_owned(), error })
    }

    fn get<V: serde::de::DeserializeOwned>(&self, key: &str) -> Result<Option<V>, StoreError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(ONE)?;
        let Some(value) = table.get(key)? else { return Ok(None) };
        let plain = self.open_value(key, value.value())?;
        let read = serde_json::from_slice(&plain);
        read.map(Some).map_err(|e| StoreError::Spoilt { what: key.to_owned(), error: FormatError::Json(e) })
    }

    fn put<V: serde::Serialize>(&self, key: &str, value: &V) -> Result<(), StoreError> {
        let json = |e| StoreError::Spoilt { what: key.to_owned(), error: FormatError::Json(e) };
        self.put_plain(key, &self.format.seal(&serde_json::to_vec(value).map_err(json)?))
    }

    fn put_plain(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(ONE)?.insert(key, value)?;
        transaction.commit()?;
        Ok(())
    }
}

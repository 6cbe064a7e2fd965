//! The store of a replica: log, vote and snapshot, in one redb database. A write is synced before its call returns, and
//! each value carries a checksum of its own, so that corruption by a disk is detected.

mod applied_state;
mod commit_counter;
mod error;
mod format;
mod log;
mod service_waiters;
mod state_machine;

pub use applied_state::{AppliedState, StateMachineData};
pub use error::StoreError;
pub use format::{Format, FormatError};
pub use state_machine::StateMachine;

use commit_counter::CommitCounter;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::sync::Arc;

/// The database's name in the folder of a replica.
pub(crate) const DATABASE_FILE: &str = "roster.redb";
/// The database's name until it is initialized.
const NEW_DATABASE_FILE: &str = "roster.new";
/// The commit counter's name in the folder of a replica.
const COMMIT_COUNTER_FILE: &str = "roster.mark";

/// Log entries by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Single values, by the keys below.
const SINGLETONS: TableDefinition<&str, &[u8]> = TableDefinition::new("one");

const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const SNAPSHOT: &str = "snapshot";
const IDENTITY: &str = "identity";
/// Key of the number of the database's format, in decimal digits, which is read before any other value.
const FORMAT_NUMBER: &str = "form";
/// Key of the number of commits to the database, as eight bytes in little-endian order.
const COMMITS: &str = "commits";

fn corrupt(what: &str, error: FormatError) -> StoreError {
    StoreError::Corrupt { what: what.to_owned(), error }
}

fn decode_json<V: DeserializeOwned>(what: &str, json: &[u8]) -> Result<V, StoreError> {
    serde_json::from_slice(json).map_err(|e| corrupt(what, FormatError::Json(e)))
}

fn decode_to_json(what: &str, value: &[u8]) -> Result<Vec<u8>, StoreError> {
    format::decode(value).map_err(|error| corrupt(what, error))
}

fn decode<V: DeserializeOwned>(what: &str, value: &[u8]) -> Result<V, StoreError> {
    decode_json(what, &decode_to_json(what, value)?)
}

/// Decodes the number of commits, which is 0 in a database that does not store one yet.
fn decode_count(value: Option<&[u8]>) -> u64 {
    value.and_then(|bytes| bytes.try_into().ok()).map_or(0, u64::from_le_bytes)
}

/// The number of commits to a database.
fn commit_count(database: &Database) -> Result<u64, StoreError> {
    let transaction = database.begin_read()?;
    let table = match transaction.open_table(SINGLETONS) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(0),
        Err(error) => return Err(error.into()),
    };
    let value = table.get(COMMITS)?;
    Ok(decode_count(value.as_ref().map(|value| value.value())))
}

/// Opens a database and checks the integrity of all of it. redb trusts the length in the file's header and panics if
/// the file is shorter: the panic is returned as an error. The hook is replaced meanwhile, so that the panic is not
/// printed.
fn open_database(path: &Path) -> Result<Database, StoreError> {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let opened = std::panic::catch_unwind(|| -> Result<Database, StoreError> {
        let mut database = Database::create(path)?;
        if !database.check_integrity()? {
            return Err(StoreError::IntegrityCheck);
        }
        Ok(database)
    });
    std::panic::set_hook(hook);
    opened.unwrap_or_else(|panic| Err(StoreError::OpenPanicked { panic: panic_message(&*panic) }))
}

fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned())).unwrap_or_default()
}

/// A replica's store; clones share it.
#[derive(Clone)]
pub struct Store {
    database: Arc<Database>,
    format: Format,
    /// `None` for a store over a database that the caller opened, which need not be a file.
    commit_counter: Option<Arc<CommitCounter>>,
}

impl Store {
    /// Opens the store in `folder`, or creates it. Values are written in `format`.
    pub fn open(folder: &Path, format: Format) -> Result<Self, StoreError> {
        let path = folder.join(DATABASE_FILE);
        if path.try_exists().map_err(redb::Error::Io)? {
            return Self::open_file(folder, &path, format)?.with_current_counter();
        }
        // A database whose creation was interrupted contains nothing that was acknowledged.
        let new = folder.join(NEW_DATABASE_FILE);
        match std::fs::remove_file(&new) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                return Err(redb::Error::Io(error).into());
            }
            _ => {}
        }
        let store = Self::open_file(folder, &new, format)?;
        let move_into_place = || {
            std::fs::rename(&new, &path)?;
            std::fs::File::open(folder)?.sync_all()
        };
        move_into_place().map_err(redb::Error::Io)?;
        store.with_current_counter()
    }

    /// Brings the commit counter up to date with the database.
    fn with_current_counter(self) -> Result<Self, StoreError> {
        if let Some(counter) = &self.commit_counter {
            counter.store(commit_count(&self.database)?);
        }
        Ok(self)
    }

    /// Opens the database at `path`, with the commit counter in `folder`.
    fn open_file(folder: &Path, path: &Path, format: Format) -> Result<Self, StoreError> {
        let database = open_database(path)?;
        let commit_counter = CommitCounter::open(&folder.join(COMMIT_COUNTER_FILE))?;
        // This is checked before the first write, which would raise the database's count.
        let found = commit_count(&database)?;
        let counted = commit_counter.count_when_opened();
        if found < counted {
            return Err(StoreError::RolledBack { found, counted });
        }
        let mut store = Self::from_database(database, format)?;
        store.commit_counter = Some(Arc::new(commit_counter));
        Ok(store)
    }

    /// Commits a change and counts it. redb may roll a corrupt database back to an earlier commit: the count shows it.
    fn commit<V>(
        &self,
        change: impl FnOnce(&WriteTransaction) -> Result<V, StoreError>,
    ) -> Result<V, StoreError> {
        let transaction = self.database.begin_write()?;
        let value = change(&transaction)?;
        let count = {
            let mut singletons = transaction.open_table(SINGLETONS)?;
            let count = decode_count(singletons.get(COMMITS)?.as_ref().map(|value| value.value())) + 1;
            singletons.insert(COMMITS, count.to_le_bytes().as_slice())?;
            count
        };
        transaction.commit()?;
        if let Some(counter) = &self.commit_counter {
            counter.store(count);
        }
        Ok(value)
    }

    /// Commits and syncs an empty change, to check whether the disk accepts writes.
    pub fn probe(&self) -> Result<(), StoreError> {
        self.commit(|_| Ok(()))
    }

    /// A store over an open database, whose values are converted to `format`.
    pub fn from_database(database: Database, format: Format) -> Result<Self, StoreError> {
        let transaction = database.begin_write()?;
        let stored_format = {
            transaction.open_table(LOG)?;
            let singletons = transaction.open_table(SINGLETONS)?;
            singletons.get(FORMAT_NUMBER)?.and_then(|v| std::str::from_utf8(v.value()).ok()?.parse().ok())
        };
        let found = stored_format.unwrap_or(format.number());
        if found > Format::NEWEST.number() {
            return Err(StoreError::NewerFormat { found, known: Format::NEWEST.number() });
        }
        transaction.commit()?;
        let store = Self { database: Arc::new(database), format, commit_counter: None };
        if found != format.number() {
            store.convert_all()?;
        }
        if stored_format != Some(format.number()) {
            store.put_bytes(FORMAT_NUMBER, format.number().to_string().as_bytes())?;
        }
        Ok(store)
    }

    /// Rewrites every value in this store's format, in one commit.
    fn convert_all(&self) -> Result<(), StoreError> {
        self.commit(|transaction| {
            self.convert_singletons(transaction)?;
            self.convert_log(transaction)
        })
    }

    fn convert_singletons(&self, transaction: &WriteTransaction) -> Result<(), StoreError> {
        let mut singletons = transaction.open_table(SINGLETONS)?;
        for key in [VOTE, COMMITTED, PURGED, SNAPSHOT, IDENTITY] {
            let value = singletons.get(key)?.map(|v| v.value().to_vec());
            let Some(value) = value else { continue };
            let json = decode_to_json(key, &value)?;
            if key == SNAPSHOT {
                let snapshot: StateMachineData = decode_json(key, &json)?;
                self.check_services(key, snapshot.list.has_services())?;
            }
            singletons.insert(key, self.format.encode(&json).as_slice())?;
        }
        Ok(())
    }

    fn convert_log(&self, transaction: &WriteTransaction) -> Result<(), StoreError> {
        let mut log = transaction.open_table(LOG)?;
        let indexes: Vec<u64> =
            log.iter()?.map(|row| row.map(|(index, _)| index.value())).collect::<Result<_, _>>()?;
        for index in indexes {
            let value = log.get(index)?.map(|v| v.value().to_vec()).unwrap_or_default();
            let name = log::entry_name(index);
            let json = decode_to_json(&name, &value)?;
            self.check_services(&name, log::has_services(&decode_json(&name, &json)?))?;
            log.insert(index, self.format.encode(&json).as_slice())?;
        }
        Ok(())
    }

    /// The identity of the replica `id`. A new store takes it from `new_identity` and belongs to that replica from then
    /// on.
    pub fn identity(&self, id: u64, new_identity: u64) -> Result<u64, StoreError> {
        if let Some((found, identity)) = self.get::<(u64, u64)>(IDENTITY)? {
            return if found == id {
                Ok(identity)
            } else {
                Err(StoreError::OtherReplica { found, wanted: id })
            };
        }
        self.put(IDENTITY, &(id, new_identity))?;
        Ok(new_identity)
    }

    /// The format in which values are written.
    pub fn format(&self) -> Format {
        self.format
    }

    /// Rejects services in a format whose readers would ignore them.
    fn check_services(&self, what: &str, has_services: bool) -> Result<(), StoreError> {
        if has_services && !self.format.has_services() {
            return Err(StoreError::ServicesUnsupported {
                what: what.to_owned(),
                format: self.format.number(),
            });
        }
        Ok(())
    }

    fn encode<V: Serialize>(&self, what: &str, value: &V) -> Result<Vec<u8>, StoreError> {
        let json = serde_json::to_vec(value).map_err(|e| corrupt(what, FormatError::Json(e)))?;
        Ok(self.format.encode(&json))
    }

    fn get<V: DeserializeOwned>(&self, key: &str) -> Result<Option<V>, StoreError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(SINGLETONS)?;
        let Some(value) = table.get(key)? else { return Ok(None) };
        decode(key, value.value()).map(Some)
    }

    fn put<V: Serialize>(&self, key: &str, value: &V) -> Result<(), StoreError> {
        self.put_bytes(key, &self.encode(key, value)?)
    }

    fn put_bytes(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.commit(|transaction| {
            transaction.open_table(SINGLETONS)?.insert(key, value)?;
            Ok(())
        })
    }
}

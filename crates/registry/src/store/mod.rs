//! What a replica keeps on disk: log, vote and snapshot, in one redb file. What is written is on disk when a call
//! returns, and every value carries a checksum of its own, so that a byte that a disk changed is not taken for data.

mod format;
mod log;
mod machine;
mod mark;
mod waiting;

pub use format::{Format, FormatError};
pub use machine::{Machine, Shared, Snapshot};

use mark::Mark;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use std::path::Path;
use std::sync::Arc;

/// The file in its folder, and its name until it is whole.
const FILE: &str = "roster.redb";
const NEW_FILE: &str = "roster.new";

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
/// How many commits the file has seen, as eight bytes.
const COMMITS: &str = "commits";

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
    /// It is so far from whole that it can't even be opened.
    #[error("the file is not whole: {0}")]
    Broken(String),
    /// It lacks commits that were on disk before: what was acknowledged with them may be gone.
    #[error("the file has seen {found} commits, and had seen {marked} before: its last ones are lost")]
    Behind {
        /// Commits that it has.
        found: u64,
        /// Commits that it had.
        marked: u64,
    },
    /// It was written by a newer program.
    #[error("the file has form {found}, and this program knows up to {known}")]
    Newer {
        /// Its form.
        found: u32,
        /// The newest that is known.
        known: u32,
    },
    /// It holds a list with services, which the format that is wanted does not.
    #[error("{what} has services, which form {format} can't hold: it needs form 3")]
    Services {
        /// Which value.
        what: String,
        /// The format's number.
        format: u32,
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

impl StoreError {
    /// Whether the file may be of use when it is opened anew: its disk failed, and may do so no more. What stands in it
    /// and can't be used stays so.
    pub fn passes(&self) -> bool {
        match self {
            Self::Database(redb::Error::PreviousIo) => true,
            // The library says of a file that is not whole that reading it failed, with no number of the system's.
            Self::Database(redb::Error::Io(e)) => e.raw_os_error().is_some() && !denied(e),
            _ => false,
        }
    }

    /// Whether somebody has the file open.
    pub fn is_open_elsewhere(&self) -> bool {
        matches!(self, Self::Database(redb::Error::DatabaseAlreadyOpen))
    }
}

/// Whether the system will say the same until somebody changes something about the file.
fn denied(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{IsADirectory, NotADirectory, NotFound, PermissionDenied, ReadOnlyFilesystem};
    matches!(error.kind(), NotFound | PermissionDenied | ReadOnlyFilesystem | IsADirectory | NotADirectory)
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

fn read_plain<V: serde::de::DeserializeOwned>(what: &str, plain: &[u8]) -> Result<V, StoreError> {
    let read = serde_json::from_slice(plain);
    read.map_err(|e| StoreError::Spoilt { what: what.to_owned(), error: FormatError::Json(e) })
}

/// How many commits a file has seen.
fn commits(database: &Database) -> Result<u64, StoreError> {
    let transaction = database.begin_read()?;
    let table = match transaction.open_table(ONE) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(0),
        Err(error) => return Err(error.into()),
    };
    let value = table.get(COMMITS)?.map(|v| v.value().to_vec());
    Ok(value.and_then(|v| v.try_into().ok()).map_or(0, u64::from_le_bytes))
}

/// A replica's file.
#[derive(Clone)]
pub struct Store {
    database: Arc<Database>,
    format: Format,
    /// Beside the file, how many commits it has seen.
    mark: Option<Arc<Mark>>,
}

impl Store {
    /// Opens the file of that folder, or makes it; values are written in that format.
    pub fn open(folder: &Path, format: Format) -> Result<Self, StoreError> {
        let path = folder.join(FILE);
        if path.try_exists().map_err(redb::Error::Io)? {
            return Self::open_file(folder, &path, format)?.marked();
        }
        // One whose making was cut short is no store, and holds nothing that anybody was told.
        let new = folder.join(NEW_FILE);
        match std::fs::remove_file(&new) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                return Err(redb::Error::Io(error).into());
            }
            _ => {}
        }
        let store = Self::open_file(folder, &new, format)?;
        let put_in_place = || {
            std::fs::rename(&new, &path)?;
            std::fs::File::open(folder)?.sync_all()
        };
        put_in_place().map_err(redb::Error::Io)?;
        store.marked()
    }

    /// From now on commits are counted beside the file, which is in its place.
    fn marked(self) -> Result<Self, StoreError> {
        if let Some(mark) = &self.mark {
            mark.set(commits(&self.database)?);
        }
        Ok(self)
    }

    /// Opens that file, which lies in that folder.
    fn open_file(folder: &Path, path: &Path, format: Format) -> Result<Self, StoreError> {
        // The library takes for granted that a file is as long as its own head says, and panics where it is not.
        // Whoever else panics meanwhile says nothing of it; a replica that opens its file anew has ended its own tasks.
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| {}));
        let opened = std::panic::catch_unwind(|| -> Result<Database, StoreError> {
            let mut database = Database::create(path)?;
            if !database.check_integrity()? {
                return Err(StoreError::Broken("its checksums do not match".into()));
            }
            Ok(database)
        });
        std::panic::set_hook(hook);
        let said = |panic: &(dyn std::any::Any + Send)| {
            let text = panic.downcast_ref::<String>().cloned();
            text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned())).unwrap_or_default()
        };
        let database = opened.unwrap_or_else(|panic| Err(StoreError::Broken(said(&*panic))))?;
        let mark = Mark::open(&folder.join("roster.mark"))?;
        // Before anything is written.
        let (found, marked) = (commits(&database)?, mark.get());
        if found < marked {
            return Err(StoreError::Behind { found, marked });
        }
        let mut store = Self::over(database, format)?;
        store.mark = Some(Arc::new(mark));
        Ok(store)
    }

    /// Commits a change, counted: a file that was rolled back to an earlier commit, as a library may do with one that
    /// it finds spoilt, is told apart from one that is whole.
    fn change<V>(
        &self,
        what: impl FnOnce(&WriteTransaction) -> Result<V, StoreError>,
    ) -> Result<V, StoreError> {
        let transaction = self.database.begin_write()?;
        let value = what(&transaction)?;
        let count = {
            let mut one = transaction.open_table(ONE)?;
            let before =
                one.get(COMMITS)?.and_then(|v| v.value().try_into().ok()).map_or(0, u64::from_le_bytes);
            one.insert(COMMITS, (before + 1).to_le_bytes().as_slice())?;
            before + 1
        };
        transaction.commit()?;
        if let Some(mark) = &self.mark {
            mark.set(count);
        }
        Ok(value)
    }

    /// Writes and syncs a commit that changes nothing, to see whether the disk takes one.
    pub fn probe(&self) -> Result<(), StoreError> {
        self.change(|_| Ok(()))
    }

    /// The same over an open database.
    pub fn over(database: Database, format: Format) -> Result<Self, StoreError> {
        let transaction = database.begin_write()?;
        let (found, fresh) = {
            transaction.open_table(LOG)?;
            let one = transaction.open_table(ONE)?;
            let found = one.get(FORM)?.and_then(|v| std::str::from_utf8(v.value()).ok()?.parse().ok());
            (found.unwrap_or(format.number()), found.is_none())
        };
        if found > Format::NEWEST.number() {
            return Err(StoreError::Newer { found, known: Format::NEWEST.number() });
        }
        transaction.commit()?;
        let store = Self { database: Arc::new(database), format, mark: None };
        if found != format.number() {
            store.rewrite()?;
        }
        if found != format.number() || fresh {
            store.put_plain(FORM, format.number().to_string().as_bytes())?;
        }
        Ok(store)
    }

    /// Writes every value anew in this store's format, all or none.
    fn rewrite(&self) -> Result<(), StoreError> {
        self.change(|transaction| {
            let mut one = transaction.open_table(ONE)?;
            for key in [VOTE, COMMITTED, PURGED, SNAPSHOT, IDENTITY] {
                let value = one.get(key)?.map(|v| v.value().to_vec());
                if let Some(value) = value {
                    let plain = self.open_value(key, &value)?;
                    if key == SNAPSHOT {
                        let snapshot: Snapshot = read_plain(key, &plain)?;
                        self.can_hold(key, snapshot.list.has_services())?;
                    }
                    one.insert(key, self.format.seal(&plain).as_slice())?;
                }
            }
            let mut log = transaction.open_table(LOG)?;
            let indexes: Vec<u64> = redb::ReadableTable::iter(&log)?
                .map(|e| e.map(|(k, _)| k.value()))
                .collect::<Result<_, _>>()?;
            for index in indexes {
                let value = log.get(index)?.map(|v| v.value().to_vec()).unwrap_or_default();
                let what = format!("log entry {index}");
                let plain = self.open_value(&what, &value)?;
                self.can_hold(&what, log::has_services(&read_plain(&what, &plain)?))?;
                log.insert(index, self.format.seal(&plain).as_slice())?;
            }
            Ok(())
        })
    }

    /// Whose file it is: the number and identity that were written first, which are these where there are none.
    pub fn identity(&self, id: u64, drawn: u64) -> Result<u64, StoreError> {
        if let Some((found, identity)) = self.get::<(u64, u64)>(IDENTITY)? {
            return if found == id { Ok(identity) } else { Err(StoreError::Other { found, wanted: id }) };
        }
        self.put(IDENTITY, &(id, drawn))?;
        Ok(drawn)
    }

    /// How values are written.
    pub fn format(&self) -> Format {
        self.format
    }

    /// What has services is not written in a form whose readers would not see them.
    fn can_hold(&self, what: &str, services: bool) -> Result<(), StoreError> {
        if services && !self.format.has_services() {
            return Err(StoreError::Services { what: what.to_owned(), format: self.format.number() });
        }
        Ok(())
    }

    fn open_value(&self, what: &str, value: &[u8]) -> Result<Vec<u8>, StoreError> {
        format::open(value).map_err(|error| StoreError::Spoilt { what: what.to_owned(), error })
    }

    fn get<V: serde::de::DeserializeOwned>(&self, key: &str) -> Result<Option<V>, StoreError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(ONE)?;
        let Some(value) = table.get(key)? else { return Ok(None) };
        read_plain(key, &self.open_value(key, value.value())?).map(Some)
    }

    fn put<V: serde::Serialize>(&self, key: &str, value: &V) -> Result<(), StoreError> {
        let json = |e| StoreError::Spoilt { what: key.to_owned(), error: FormatError::Json(e) };
        self.put_plain(key, &self.format.seal(&serde_json::to_vec(value).map_err(json)?))
    }

    fn put_plain(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        self.change(|transaction| {
            transaction.open_table(ONE)?.insert(key, value)?;
            Ok(())
        })
    }
}

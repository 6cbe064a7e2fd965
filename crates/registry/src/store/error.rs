//! Errors of the store.

use super::FormatError;

/// Why a replica's store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database can't be read or written, or is corrupt.
    #[error("{0}")]
    Database(#[from] redb::Error),
    /// A value is not what was written.
    #[error("{what}: {error}")]
    Corrupt {
        /// Which value.
        what: String,
        /// What is wrong with it. Not a `source`, as openraft would append it to the text a second time.
        error: FormatError,
    },
    /// The checksums of the database's pages do not match.
    #[error("the database is corrupt: the checksums of its pages do not match")]
    IntegrityCheck,
    /// The database is so corrupt that opening it panics.
    #[error("the database is corrupt: an assertion failed while it was opened: {panic}")]
    OpenPanicked {
        /// The message of the panic.
        panic: String,
    },
    /// Commits are missing that were on disk before: acknowledged writes may be lost.
    #[error(
        "the database was rolled back: {found} commits found, {counted} expected; the last ones are lost"
    )]
    RolledBack {
        /// Commits in the database.
        found: u64,
        /// Commits according to the commit counter, a file beside the database.
        counted: u64,
    },
    /// The database was written by a newer version of this program.
    #[error("the database has format {found}, but this program supports formats up to {known}")]
    NewerFormat {
        /// The database's format.
        found: u32,
        /// The newest format that is known.
        known: u32,
    },
    /// A value has services, which the configured format does not support.
    #[error("{what} has services, which format {format} does not support: format 3 is required")]
    ServicesUnsupported {
        /// Which value.
        what: String,
        /// The format's number.
        format: u32,
    },
    /// The store belongs to another replica.
    #[error("the folder belongs to replica {found}, not {wanted}")]
    OtherReplica {
        /// The replica that it belongs to.
        found: u64,
        /// The replica that opened it.
        wanted: u64,
    },
}

impl StoreError {
    /// Whether reopening the store may help, because its disk failed. A corrupt database stays corrupt.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Database(redb::Error::PreviousIo) => true,
            // redb reports a truncated file as an I/O error without an OS error code.
            Self::Database(redb::Error::Io(e)) => e.raw_os_error().is_some() && !is_permanent(e),
            _ => false,
        }
    }

    /// Whether the database is open elsewhere.
    pub fn is_open_elsewhere(&self) -> bool {
        matches!(self, Self::Database(redb::Error::DatabaseAlreadyOpen))
    }
}

/// Whether the error persists until an operator changes the file's permissions or location.
fn is_permanent(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{IsADirectory, NotADirectory, NotFound, PermissionDenied, ReadOnlyFilesystem};
    matches!(error.kind(), NotFound | PermissionDenied | ReadOnlyFilesystem | IsADirectory | NotADirectory)
}

/// Every error of redb becomes a [`StoreError::Database`].
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

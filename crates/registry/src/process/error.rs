//! Errors of a replica's process.

use crate::node::NodeError;
use crate::store::{FormatError, StoreError};
use std::error::Error;
use std::io;
use std::path::PathBuf;

/// Why a replica's process failed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The store's folder can't be created.
    #[error("folder {}: {source}", path.display())]
    Folder {
        /// Path of the folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The store can't be used.
    #[error("file {}: {source}", path.display())]
    Store {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: StoreError,
    },
    /// The replica can't be started, or its cluster can't be bootstrapped.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// The process can't listen on its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A backup can't be used.
    #[error("backup {}: {source}", path.display())]
    Backup {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: BackupError,
    },
    /// The cluster has permanently refused to add the replica.
    #[error("the cluster refused to add this replica: {response}")]
    JoinRefused {
        /// The response of a member.
        response: String,
    },
    /// The replica has stopped.
    #[error("the replica has stopped: {0}")]
    Stopped(#[source] Box<dyn Error + Send + Sync>),
    /// Another I/O error.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Why a backup can't be used.
#[derive(Debug, thiserror::Error)]
pub enum BackupError {
    /// The file can't be read.
    #[error("{0}")]
    Read(#[from] io::Error),
    /// The content can't be decoded.
    #[error("{0}")]
    Format(#[from] FormatError),
}

//! A replica as a process: its folder, its place among the replicas, and its end.

use crate::config::Config;
use crate::core::list::List;
use crate::http::{Client, Http, serve};
use crate::node::{Node, NodeError, unix_ms};
use crate::store::{Format, FormatError, Snapshot, Store, StoreError};
use hyper::{Method, StatusCode};
use rand::RngExt;
use serde_json::json;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

/// What a process gets that writes past the bound on its files; unheeded it would end it.
const SIGXFSZ: i32 = 25;
/// A call to another replica.
const PATIENCE: Duration = Duration::from_secs(10);

/// Why a replica's process failed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// Its folder.
    #[error("folder {}: {source}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Its file.
    #[error("file {}: {source}", path.display())]
    Store {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: StoreError,
    },
    /// The replica itself.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// Its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A backup.
    #[error("backup {}: {what}", path.display())]
    Backup {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        what: String,
    },
    /// It was turned down by those that it is to join.
    #[error("not taken in: {0}")]
    NotTakenIn(String),
    /// Its log has stopped.
    #[error("the replica has stopped: {0}")]
    Stopped(String),
    /// Something else of the machine's.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Reads the list of a backup.
pub fn read_backup(path: &Path) -> Result<List, ProcessError> {
    let bad = |what: String| ProcessError::Backup { path: path.to_owned(), what };
    let bytes = std::fs::read(path).map_err(|e| bad(e.to_string()))?;
    let snapshot = Snapshot::read(&bytes).map_err(|e: FormatError| bad(e.to_string()))?;
    Ok(snapshot.list)
}

/// Runs a replica until it is told to stop, or its log stops. `restore` founds the list anew from a backup.
pub async fn run(config: Config, restore: Option<PathBuf>) -> Result<(), ProcessError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    // Heard and not heeded: the write fails, and says so.
    let _past_the_bound = signal(SignalKind::from_raw(SIGXFSZ))?;
    let from = restore.as_deref().map(read_backup).transpose()?;
    let folder = &config.folder;
    std::fs::create_dir_all(folder)
        .map_err(|source| ProcessError::Folder { path: folder.clone(), source })?;
    let in_file = |source| ProcessError::Store { path: folder.join("roster.redb"), source };
    let format = Format::of(config.format).unwrap_or_default();
    let store = Store::open(folder, format).map_err(in_file)?;
    let drawn = rand::rng().random::<u64>() >> 11;
    let node = match Node::start(config.settings(), store, Http::by(config.ways()), drawn).await {
        Err(NodeError::Store(source)) => return Err(in_file(source)),
        other => other?,
    };
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|source| ProcessError::Listen { address: config.listen, source })?;
    let service = serve(listener, node.clone(), config.limits());
    tracing::info!("replica {} listens on {}", config.id, config.listen);
    let mut metrics = node.raft().metrics();
    let stopped = async {
        loop {
            let running = metrics.borrow_and_update().running_state.clone();
            if let Err(fatal) = running {
                return ProcessError::Stopped(fatal.to_string());
            }
            if metrics.changed().await.is_err() {
                return ProcessError::Stopped("its log has ended".into());
            }
        }
    };
    let belongs = async {
        if node.belongs().await && from.is_none() {
            return Ok(());
        }
        if config.join.is_empty() {
            let epoch = unix_ms() / 1000;
            let epoch = epoch.max(from.as_ref().map_or(0, |l| l.version().epoch + 1));
            node.found(epoch, from.map(Box::new)).await?;
            tracing::info!("founded epoch {epoch}");
            return Ok(());
        }
        join(&config, node.own().identity).await
    };
    let serving = async {
        belongs.await?;
        std::future::pending::<Result<(), ProcessError>>().await
    };
    let ended = tokio::select! {
        _ = term.recv() => Ok(()),
        _ = int.recv() => Ok(()),
        why = stopped => Err(why),
        failed = serving => failed,
    };
    tracing::info!("replica {} ends", config.id);
    service.close().await;
    node.stop().await;
    ended
}

/// Asks replicas of a list to take this one in, until one does.
async fn join(config: &Config, identity: u64) -> Result<(), ProcessError> {
    let client = Client::default();
    let body = json!({"id": config.id, "address": config.own_address(), "identity": identity}).to_string();
    let mut turn = 0usize;
    loop {
        let at = &config.join[turn % config.join.len()];
        let asked = client.call(Method::POST, at, "/v1/replicas", body.clone().into_bytes(), PATIENCE).await;
        match asked {
            Ok((StatusCode::OK, ..)) => {
                tracing::info!("taken in by {at}");
                return Ok(());
            }
            Ok((StatusCode::CONFLICT, _, said)) => {
                let said = String::from_utf8_lossy(&said).into_owned();
                // Another change of who belongs may be under way; a number that is taken stays taken.
                if said.contains("a number of its own") {
                    return Err(ProcessError::NotTakenIn(said));
                }
                tracing::warn!("{at}: {said}");
            }
            Ok((status, _, said)) => tracing::info!("{at}: {status}: {}", String::from_utf8_lossy(&said)),
            Err(error) => tracing::warn!("{error}"),
        }
        turn += 1;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

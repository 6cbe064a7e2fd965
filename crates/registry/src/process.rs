//! A replica as a process: it opens its store, serves until a signal stops it, and reopens a store whose disk failed.

mod backoff;
mod error;
mod join;

pub use error::{BackupError, ProcessError};

use crate::config::Config;
use crate::core::List;
use crate::http::{HttpTransport, serve, unavailable};
use crate::node::{Node, NodeError, Settings};
use crate::store::{DATABASE_FILE, Format, Snapshot, Store};
use backoff::Backoff;
use rand::RngExt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

/// Signal to a process that exceeds its limit on file sizes. Unless it is handled, it ends the process.
const SIGXFSZ: i32 = 25;
/// A store that worked for so long has recovered: the backoff starts again at its next failure.
const RECOVERED_AFTER: Duration = Duration::from_secs(30);
/// Identities have 53 bits, so that programs that read numbers of JSON as floats don't round them.
const IDENTITY_UNUSED_BITS: u32 = 11;

/// Reads the list of a backup.
pub fn read_backup(path: &Path) -> Result<List, ProcessError> {
    let error = |source| ProcessError::Backup { path: path.to_owned(), source };
    let bytes = std::fs::read(path).map_err(|e| error(e.into()))?;
    let snapshot = Snapshot::decode(&bytes).map_err(|e| error(e.into()))?;
    Ok(snapshot.list)
}

/// How a replica ended that ran over one opening of its store.
enum End {
    /// A signal stopped the process.
    Shutdown,
    /// The store failed, which may be transient.
    StoreFailed(ProcessError),
    /// It can't continue.
    Failed(ProcessError),
}

impl From<ProcessError> for End {
    fn from(error: ProcessError) -> Self {
        match &error {
            ProcessError::Store { source, .. } if source.is_transient() => Self::StoreFailed(error),
            _ => Self::Failed(error),
        }
    }
}

/// The signals that stop the process.
struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    fn new() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { terminate, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Runs a replica until a signal stops it or it can't continue. `restore` starts a new epoch from a backup.
///
/// After a failure of the store, the state in memory may be ahead of the disk and is discarded: the store is reopened,
/// with backoff, for as long as that takes. Requests are answered with status 503 meanwhile.
pub async fn run(config: Config, restore: Option<PathBuf>) -> Result<(), ProcessError> {
    let mut shutdown = ShutdownSignals::new()?;
    // With a handler, the write fails with an error that the store reports.
    let _file_size_signal = signal(SignalKind::from_raw(SIGXFSZ))?;
    let mut backup = restore.as_deref().map(read_backup).transpose()?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|source| ProcessError::Listen { address: config.listen, source })?;
    let listener = Arc::new(listener);
    let mut backoff = Backoff::default();
    for failures in 0u64.. {
        let began = Instant::now();
        let error = match run_once(&config, &mut backup, &listener, failures, &mut shutdown).await {
            End::Shutdown => return Ok(()),
            End::Failed(error) => return Err(error),
            End::StoreFailed(error) => error,
        };
        if began.elapsed() > RECOVERED_AFTER {
            backoff = Backoff::default();
        }
        let pause = backoff.next();
        tracing::error!("{error}: the store is opened anew in {} ms", pause.as_millis());
        let mut is_shutdown = false;
        let paused = async {
            tokio::select! {
                () = shutdown.received() => is_shutdown = true,
                () = tokio::time::sleep(pause) => {}
            }
        };
        unavailable(Arc::clone(&listener), &config.limits(), failures + 1, paused).await;
        if is_shutdown {
            return Ok(());
        }
    }
    Ok(())
}

/// Runs a replica over one opening of its store.
async fn run_once(
    config: &Config,
    backup: &mut Option<List>,
    listener: &Arc<TcpListener>,
    reopen_count: u64,
    shutdown: &mut ShutdownSignals,
) -> End {
    let node = match start(config, reopen_count).await {
        Ok(node) => node,
        Err(end) => return end,
    };
    let service = serve(Arc::clone(listener), node.clone(), config.limits());
    tracing::info!("replica {} listens on {}", config.id, config.listen);
    let end = tokio::select! {
        () = shutdown.received() => End::Shutdown,
        error = raft_stopped(&node) => End::Failed(error),
        Err(error) = join::ensure_member(config, &node, backup) => End::Failed(error),
    };
    tracing::info!("replica {} ends", config.id);
    service.close().await;
    let store_failed = node.store_failed();
    node.stop().await;
    match end {
        End::Failed(error) if store_failed => End::StoreFailed(error),
        end => end,
    }
}

/// Opens the store and starts the replica.
async fn start(config: &Config, reopen_count: u64) -> Result<Node<HttpTransport>, End> {
    let store_error = |source| ProcessError::Store { path: config.folder.join(DATABASE_FILE), source };
    let store = open_store(config, reopen_count)?;
    let new_identity = rand::rng().random::<u64>() >> IDENTITY_UNUSED_BITS;
    let settings = Settings { store_reopen_count: reopen_count, ..config.settings() };
    let transport = HttpTransport::with_address_overrides(config.address_overrides());
    match Node::start(settings, store, transport, new_identity).await {
        Ok(node) => Ok(node),
        Err(NodeError::Store(source)) => Err(store_error(source).into()),
        // openraft's error does not tell a failure of the store from others.
        Err(NodeError::Raft(error)) if reopen_count > 0 => {
            Err(End::StoreFailed(ProcessError::Stopped(error)))
        }
        Err(other) => Err(ProcessError::Node(other).into()),
    }
}

fn open_store(config: &Config, reopen_count: u64) -> Result<Store, End> {
    let folder = &config.folder;
    std::fs::create_dir_all(folder)
        .map_err(|source| ProcessError::Folder { path: folder.clone(), source })?;
    let store_error = |source| ProcessError::Store { path: folder.join(DATABASE_FILE), source };
    let format = Format::from_number(config.format).unwrap_or_default();
    let store = match Store::open(folder, format) {
        // The last tasks of the previous replica may still hold the database.
        Err(source) if reopen_count > 0 && source.is_open_elsewhere() => {
            return Err(End::StoreFailed(store_error(source)));
        }
        opened => opened.map_err(store_error)?,
    };
    if reopen_count > 0 {
        // A replica that led would lead again at once; if its disk still failed, it would keep the others from leading.
        store.probe().map_err(store_error)?;
    }
    Ok(store)
}

/// Waits until openraft has stopped, and returns why.
async fn raft_stopped(node: &Node<HttpTransport>) -> ProcessError {
    let mut metrics = node.raft().metrics();
    loop {
        let running = metrics.borrow_and_update().running_state.clone();
        if let Err(fatal) = running {
            return ProcessError::Stopped(fatal.into());
        }
        if metrics.changed().await.is_err() {
            return ProcessError::Stopped("its log has ended".into());
        }
    }
}

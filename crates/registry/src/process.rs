//! A replica as a process: it opens its store, serves until it is stopped by a signal, and reopens a store that failed.

mod backoff;
mod error;
mod join;

pub use error::{BackupError, ProcessError};

use crate::config::Config;
use crate::core::List;
use crate::http::{HttpTransport, serve, serve_unavailable};
use crate::node::{Node, NodeError, Settings};
use crate::store::{DATABASE_FILE, Format, StateMachineData, Store};
use backoff::Backoff;
use rand::RngExt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

/// Signal to a process that exceeds its file size limit. Its default action terminates the process.
const SIGXFSZ: i32 = 25;
/// Time after which a reopened store counts as recovered, so that the backoff starts over at its next failure.
const RECOVERED_AFTER: Duration = Duration::from_secs(30);
/// Identities have 53 bits, so that programs that read JSON numbers as floats don't round them.
const IDENTITY_UNUSED_BITS: u32 = 11;

/// Reads the list from a backup file.
pub fn read_backup(path: &Path) -> Result<List, ProcessError> {
    let error = |source| ProcessError::Backup { path: path.to_owned(), source };
    let bytes = std::fs::read(path).map_err(|e| error(e.into()))?;
    let snapshot = StateMachineData::decode(&bytes).map_err(|e| error(e.into()))?;
    Ok(snapshot.list)
}

/// Why a replica stopped running.
enum ExitReason {
    /// A signal to stop was received.
    Shutdown,
    /// The store failed, which may be transient.
    StoreFailed(ProcessError),
    /// Another error, with which the replica can't continue.
    Failed(ProcessError),
}

impl From<ProcessError> for ExitReason {
    fn from(error: ProcessError) -> Self {
        match &error {
            ProcessError::Store { source, .. } if source.is_transient() => Self::StoreFailed(error),
            _ => Self::Failed(error),
        }
    }
}

/// Signals that stop the process.
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

/// Runs a replica until a signal stops it or it can't continue. `restore` is a backup from which to start a new epoch.
///
/// After a store failure, the state in memory may be ahead of the disk and is discarded. The store is reopened, with
/// backoff and without a limit of attempts; meanwhile, requests are answered with status 503.
pub async fn run(config: Config, restore: Option<PathBuf>) -> Result<(), ProcessError> {
    let mut shutdown = ShutdownSignals::new()?;
    // While the signal is handled, the write fails instead, with an error that the store reports.
    let _file_size_signal = signal(SignalKind::from_raw(SIGXFSZ))?;
    let mut backup = restore.as_deref().map(read_backup).transpose()?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|source| ProcessError::Listen { address: config.listen, source })?;
    let listener = Arc::new(listener);
    let mut backoff = Backoff::default();
    for failures in 0u64.. {
        let began = Instant::now();
        let error = match run_once(&config, &mut backup, &listener, failures, &mut shutdown).await {
            ExitReason::Shutdown => return Ok(()),
            ExitReason::Failed(error) => return Err(error),
            ExitReason::StoreFailed(error) => error,
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
        serve_unavailable(Arc::clone(&listener), &config.limits(), failures + 1, paused).await;
        if is_shutdown {
            return Ok(());
        }
    }
    Ok(())
}

/// Opens the store and runs a replica until it is stopped or fails.
async fn run_once(
    config: &Config,
    backup: &mut Option<List>,
    listener: &Arc<TcpListener>,
    reopen_count: u64,
    shutdown: &mut ShutdownSignals,
) -> ExitReason {
    let node = match start(config, reopen_count).await {
        Ok(node) => node,
        Err(reason) => return reason,
    };
    let service = serve(Arc::clone(listener), node.clone(), config.limits());
    tracing::info!("replica {} listens on {}", config.id, config.listen);
    let reason = tokio::select! {
        () = shutdown.received() => ExitReason::Shutdown,
        error = raft_stopped(&node) => ExitReason::Failed(error),
        Err(error) = join::ensure_member(config, &node, backup) => ExitReason::Failed(error),
    };
    tracing::info!("replica {} is stopping", config.id);
    service.close().await;
    let store_failed = node.store_failed();
    node.stop().await;
    match reason {
        ExitReason::Failed(error) if store_failed => ExitReason::StoreFailed(error),
        reason => reason,
    }
}

/// Opens the store and starts the replica.
async fn start(config: &Config, reopen_count: u64) -> Result<Node<HttpTransport>, ExitReason> {
    let store_error = |source| ProcessError::Store { path: config.folder.join(DATABASE_FILE), source };
    let store = open_store(config, reopen_count)?;
    let new_identity = rand::rng().random::<u64>() >> IDENTITY_UNUSED_BITS;
    let settings = Settings { store_reopen_count: reopen_count, ..config.settings() };
    let transport = HttpTransport::with_address_overrides(config.address_overrides());
    match Node::start(settings, store, transport, new_identity).await {
        Ok(node) => Ok(node),
        Err(NodeError::Store(source)) => Err(store_error(source).into()),
        // openraft's error does not distinguish a store failure from others.
        Err(NodeError::Raft(error)) if reopen_count > 0 => {
            Err(ExitReason::StoreFailed(ProcessError::Stopped(error)))
        }
        Err(other) => Err(ProcessError::Node(other).into()),
    }
}

fn open_store(config: &Config, reopen_count: u64) -> Result<Store, ExitReason> {
    let folder = &config.folder;
    std::fs::create_dir_all(folder)
        .map_err(|source| ProcessError::Folder { path: folder.clone(), source })?;
    let store_error = |source| ProcessError::Store { path: folder.join(DATABASE_FILE), source };
    let format = Format::from_number(config.format).unwrap_or_default();
    let store = match Store::open(folder, format) {
        // Tasks of the previous run that have not finished may still hold the database.
        Err(source) if reopen_count > 0 && source.is_open_elsewhere() => {
            return Err(ExitReason::StoreFailed(store_error(source)));
        }
        opened => opened.map_err(store_error)?,
    };
    if reopen_count > 0 {
        // A former leader would lead again at once; if its disk still failed, it would keep the others from leading.
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
            return ProcessError::Stopped("openraft has closed its metrics channel".into());
        }
    }
}

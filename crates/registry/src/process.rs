//! A replica as a process: its folder, its place among the replicas, and its end.

use crate::config::Config;
use crate::core::List;
use crate::http::{Client, Http, serve, unavailable};
use crate::node::{Node, NodeError, Settings, unix_ms};
use crate::store::{Format, FormatError, Snapshot, Store, StoreError};
use hyper::{Method, StatusCode};
use rand::RngExt;
use serde_json::json;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

/// What a process gets that writes past the bound on its files; unheeded it would end it.
const SIGXFSZ: i32 = 25;
/// Pauses between openings of a store that failed: the first, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// A store that has been of use for so long has come back: its next failure is another.
const STEADY: Duration = Duration::from_secs(30);
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

/// How a replica's run over one opening of its store came to its end.
enum Ended {
    /// It was told to stop.
    Told,
    /// Its store failed, which may pass.
    StoreFailed(ProcessError),
    /// It can't go on.
    Failed(ProcessError),
}

impl From<ProcessError> for Ended {
    fn from(error: ProcessError) -> Self {
        match &error {
            ProcessError::Store { source, .. } if source.passes() => Self::StoreFailed(error),
            _ => Self::Failed(error),
        }
    }
}

/// The signals that tell a replica to stop.
struct Stop {
    term: Signal,
    int: Signal,
}

impl Stop {
    async fn told(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

/// Runs a replica until it is told to stop, or can't go on. `restore` founds the list anew from a backup.
///
/// After its store has failed, nothing of what it held in memory may be trusted: the store is opened anew from the
/// disk, at growing pauses, for as long as that takes. Callers are answered 503 meanwhile.
pub async fn run(config: Config, restore: Option<PathBuf>) -> Result<(), ProcessError> {
    let mut stop = Stop { term: signal(SignalKind::terminate())?, int: signal(SignalKind::interrupt())? };
    // Heard and not heeded: the write fails, and says so.
    let _past_the_bound = signal(SignalKind::from_raw(SIGXFSZ))?;
    let mut from = restore.as_deref().map(read_backup).transpose()?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|source| ProcessError::Listen { address: config.listen, source })?;
    let listener = Arc::new(listener);
    let mut pauses = Pauses::default();
    for failures in 0u64.. {
        let began = Instant::now();
        let why = match run_once(&config, &mut from, &listener, failures, &mut stop).await {
            Ended::Told => return Ok(()),
            Ended::Failed(error) => return Err(error),
            Ended::StoreFailed(error) => error,
        };
        if began.elapsed() > STEADY {
            pauses = Pauses::default();
        }
        let pause = pauses.next();
        tracing::error!("{why}: the store is opened anew in {} ms", pause.as_millis());
        let mut told = false;
        let over = async {
            tokio::select! {
                () = stop.told() => told = true,
                () = tokio::time::sleep(pause) => {}
            }
        };
        unavailable(Arc::clone(&listener), &config.limits(), failures + 1, over).await;
        if told {
            return Ok(());
        }
    }
    Ok(())
}

/// Runs a replica over one opening of its store. `from` is taken once the list has been founded from it.
async fn run_once(
    config: &Config,
    from: &mut Option<List>,
    listener: &Arc<TcpListener>,
    reopened: u64,
    stop: &mut Stop,
) -> Ended {
    let node = match open(config, reopened).await {
        Ok(node) => node,
        Err(error) => return error,
    };
    let service = serve(Arc::clone(listener), node.clone(), config.limits());
    tracing::info!("replica {} listens on {}", config.id, config.listen);
    let ended = tokio::select! {
        () = stop.told() => Ended::Told,
        why = stopped(&node) => Ended::Failed(why),
        Err(error) = member(config, &node, from) => Ended::Failed(error),
    };
    tracing::info!("replica {} ends", config.id);
    service.close().await;
    let store_failed = node.store_failed();
    node.stop().await;
    match ended {
        Ended::Failed(error) if store_failed => Ended::StoreFailed(error),
        ended => ended,
    }
}

/// Opens the store and starts the replica over it.
async fn open(config: &Config, reopened: u64) -> Result<Node<Http>, Ended> {
    let folder = &config.folder;
    std::fs::create_dir_all(folder)
        .map_err(|source| ProcessError::Folder { path: folder.clone(), source })?;
    let in_file = |source| ProcessError::Store { path: folder.join("roster.redb"), source };
    let format = Format::of(config.format).unwrap_or_default();
    let store = match Store::open(folder, format) {
        // What the replica before held ends a moment after it.
        Err(source) if reopened > 0 && source.is_open_elsewhere() => {
            return Err(Ended::StoreFailed(in_file(source)));
        }
        other => other.map_err(in_file)?,
    };
    if reopened > 0 {
        // One that led would lead again at its start, and, should its disk still fail, keep the others from leading.
        store.probe().map_err(in_file)?;
    }
    let drawn = rand::rng().random::<u64>() >> 11;
    let settings = Settings { store_reopen_count: reopened, ..config.settings() };
    match Node::start(settings, store, Http::by(config.ways()), drawn).await {
        Ok(node) => Ok(node),
        Err(NodeError::Store(source)) => Err(in_file(source).into()),
        // The log's library says of its store's failures as much as of its own.
        Err(NodeError::Raft(error)) if reopened > 0 => {
            Err(Ended::StoreFailed(ProcessError::Stopped(error.to_string())))
        }
        Err(other) => Err(ProcessError::Node(other).into()),
    }
}

/// Waits until the log of a replica has stopped; tells why.
async fn stopped(node: &Node<Http>) -> ProcessError {
    let mut metrics = node.raft().metrics();
    loop {
        let running = metrics.borrow_and_update().running_state.clone();
        if let Err(fatal) = running {
            return ProcessError::Stopped(fatal.to_string());
        }
        if metrics.changed().await.is_err() {
            return ProcessError::Stopped("its log has ended".into());
        }
    }
}

/// Makes a replica a member of its list: founds it or is taken in, where it does not belong yet. Returns only with a
/// failure.
async fn member(
    config: &Config,
    node: &Node<Http>,
    from: &mut Option<List>,
) -> Result<std::convert::Infallible, ProcessError> {
    let belongs = node.is_initialized().await;
    // Its disk may have failed, or its process have ended, when it was a member and its list not founded yet.
    let founds = if belongs { node.is_sole_voter() } else { config.join.is_empty() };
    if !belongs || founds || from.is_some() {
        if founds || config.join.is_empty() {
            let epoch = unix_ms() / 1000;
            let epoch = epoch.max(from.as_ref().map_or(0, |l| l.version().epoch + 1));
            let founded = node.bootstrap_cluster(epoch, from.clone().map(Box::new)).await?;
            *from = None;
            if founded {
                tracing::info!("founded epoch {epoch}");
            }
        } else {
            join(config, node.own().identity).await?;
        }
    }
    std::future::pending().await
}

/// Pauses between openings of a store that failed.
struct Pauses(Duration);

impl Default for Pauses {
    fn default() -> Self {
        Self(FIRST_PAUSE)
    }
}

impl Pauses {
    /// The next pause: it grows, and is drawn from its upper half, so that replicas on one disk don't meet again.
    fn next(&mut self) -> Duration {
        let longest = self.0;
        self.0 = (2 * longest).min(LONGEST_PAUSE);
        longest.mul_f64(rand::rng().random_range(0.5..1.0))
    }
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

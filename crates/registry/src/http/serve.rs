//! The listening side: routes, and bounds on connections and what they may hold.

use super::metrics::Metrics;
use super::rendered::Renderings;
use super::stall::Stall;
use super::{discovery, operators, peers};
use crate::core::SECOND;
use crate::core::admission::{Admission, AdmissionDecision};
use crate::core::freshness::ReadConsistency;
use crate::node::Node;
use crate::raft::Transport;
use axum::Router;
use axum::extract::{DefaultBodyLimit, State as Held};
use axum::routing::{get, post, put};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use prometheus_client::metrics::counter::Counter;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// How much callers may take.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections.
    pub connections: usize,
    /// Watches that wait.
    pub watchers: usize,
    /// Whole lists a second, and as many at once.
    pub whole_lists_per_s: f64,
    /// Longest time that callers are told to stay away.
    pub longest_away: Duration,
    /// A head that has not come after this ends its connection, as does an answer that its reader does not take.
    pub patience: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 8000,
            watchers: 7000,
            whole_lists_per_s: 500.0,
            longest_away: Duration::from_secs(30),
            patience: Duration::from_secs(3),
        }
    }
}

/// Longest bodies: of one server, of many, of other replicas.
const ONE: usize = 16 << 10;
const MANY: usize = 4 << 20;
const PEERS: usize = 32 << 20;

/// What the routes share.
pub(super) struct State<T> {
    pub(super) node: Node<T>,
    pub(super) limits: Limits,
    pub(super) metrics: Metrics,
    pub(super) renderings: Renderings,
    pub(super) watchers: AtomicUsize,
    admission: Mutex<Admission>,
    closing: watch::Receiver<bool>,
    /// Whether this replica has lost touch with the others for so long that it may tell nothing.
    lost: watch::Receiver<bool>,
}

/// How often that is looked at, once for all who wait.
const LOOK: Duration = Duration::from_millis(250);

impl<T: Transport> State<T> {
    pub(super) fn admit(&self) -> AdmissionDecision {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner).admit(self.node.now())
    }

    pub(super) async fn closing(&self) {
        told(&mut self.closing.clone()).await;
    }

    pub(super) async fn lost_touch(&self) {
        told(&mut self.lost.clone()).await;
    }
}

/// A service that runs.
pub struct Service {
    closing: watch::Sender<bool>,
    done: tokio::task::JoinHandle<()>,
}

impl Service {
    /// Takes no more connections, answers the watches that wait, and returns once that is done.
    pub async fn close(self) {
        self.closing.send_replace(true);
        let _ = self.done.await;
    }
}

/// Serves a replica until it is closed.
pub fn serve<T: Transport>(listener: impl Into<Arc<TcpListener>>, node: Node<T>, limits: Limits) -> Service {
    let (closing, closed) = watch::channel(false);
    let (losing, lost) = watch::channel(false);
    let longest = i64::try_from(limits.longest_away.as_micros()).unwrap_or(30 * SECOND);
    let admission = Admission::new(limits.whole_lists_per_s, limits.whole_lists_per_s, longest);
    let state = Arc::new(State {
        node,
        metrics: Metrics::default(),
        renderings: Renderings::default(),
        watchers: AtomicUsize::new(0),
        admission: Mutex::new(admission),
        closing: closed.clone(),
        lost,
        limits,
    });
    let looks = look(state.node.clone(), losing);
    let callers = Callers {
        room: state.limits.connections,
        patience: state.limits.patience,
        refused: state.metrics.connections_refused.clone(),
    };
    let accepts = accept(listener.into(), routes(state), callers, closed);
    let done = tokio::spawn(async move {
        tokio::select! {
            () = accepts => {}
            () = looks => {}
        }
    });
    Service { closing, done }
}

fn routes<T: Transport>(state: Arc<State<T>>) -> Router {
    Router::new()
        .route("/up", get(|| async { "up" }))
        .route("/discovery/hosts", get(discovery::hosts))
        .route("/v1/list", get(discovery::list))
        .route("/v1/watch", get(discovery::list))
        .route("/v1/history", get(operators::history))
        .route("/v1/status", get(operators::status))
        .route("/v1/backup", get(operators::backup))
        .route("/v1/servers/{name}", put(operators::register).get(operators::show).delete(operators::remove))
        .route("/v1/servers/{name}/renew", post(operators::renew))
        .route("/v1/servers/{name}/drain", post(operators::drain))
        .route("/v1/servers/{name}/resume", post(operators::resume))
        .route("/v1/replicas", post(operators::take_in))
        .route("/v1/replicas/{id}", axum::routing::delete(operators::put_out))
        .route("/metrics", get(metrics))
        .layer(DefaultBodyLimit::max(ONE))
        .merge(
            Router::new()
                .route("/v1/servers", post(operators::register_all))
                .layer(DefaultBodyLimit::max(MANY)),
        )
        .merge(Router::new().route("/peer/{rpc}", post(peers::call)).layer(DefaultBodyLimit::max(PEERS)))
        .with_state(state)
}

async fn metrics<T: Transport>(Held(state): Held<Arc<State<T>>>) -> String {
    state.metrics.text(&state.node, state.watchers.load(Ordering::Relaxed))
}

/// Bounds on callers, and where those beyond them are counted.
pub(super) struct Callers {
    pub(super) room: usize,
    pub(super) patience: Duration,
    pub(super) refused: Counter,
}

/// Serves whoever connects until it is closed, and then what is open.
pub(super) async fn accept(
    listener: Arc<TcpListener>,
    routes: Router,
    callers: Callers,
    mut closing: watch::Receiver<bool>,
) {
    let room = Arc::new(Semaphore::new(callers.room));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!("no connection could be accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = told(&mut closing) => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&room).try_acquire_owned() else {
            callers.refused.inc();
            continue;
        };
        let (routes, mut closing, patience) = (routes.clone(), closing.clone(), callers.patience);
        connections.spawn(async move {
            let _permit = permit;
            let _ = stream.set_nodelay(true);
            let io = TokioIo::new(Stall::new(stream, patience));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(patience)
                .max_buf_size(64 << 10)
                .serve_connection(io, TowerToHyperService::new(routes));
            let mut connection = pin!(connection);
            tokio::select! {
                // What a peer breaks off is its own affair.
                _ = connection.as_mut() => {}
                () = told(&mut closing) => {
                    connection.as_mut().graceful_shutdown();
                    let _ = tokio::time::timeout(patience, connection).await;
                }
            }
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Tells whether the replica has lost touch, for as long as it is served.
async fn look<T: Transport>(node: Node<T>, losing: watch::Sender<bool>) {
    loop {
        let lost = node.reading() == ReadConsistency::Unavailable;
        losing.send_if_modified(|known| std::mem::replace(known, lost) != lost);
        tokio::time::sleep(LOOK).await;
    }
}

/// Waits until the service is closed; where the other end is gone, it is closing as well.
async fn told(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|c| *c).await.map(|_| ());
}

//! Hollow sidecars, many in one process. Each has the registry watcher that real sidecars have, on sockets of its own,
//! and some renew the lease of a server. The scale run controls a process over a connection, with one line of JSON for
//! each request and each response.

use super::{monotonic, raise_file_limit};
use lotusmoor_registry_client::{
    Action, EndpointList, Event, ListUpdate, Micros, PollError, RegistryWatcher, Settings, Version,
};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use std::future::{Future, poll_fn};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The configuration of a process of hollow sidecars.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Assignment {
    /// The addresses at which these sidecars reach the replicas of the registry, possibly those of fault proxies.
    pub replicas: Vec<SocketAddr>,
    /// The source addresses of the connections, assigned to the sidecars in turn.
    pub sources: Vec<Ipv4Addr>,
    /// The address for control connections.
    pub control: SocketAddr,
    /// The sidecars of the process.
    pub sidecars: Vec<HollowSidecar>,
}

/// One hollow sidecar.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HollowSidecar {
    /// The random seed of its watcher.
    pub seed: u64,
    /// The services that it watches; empty for the full list.
    pub services: Vec<String>,
    /// The server whose lease it renews, if any.
    pub lease: Option<LeasedServer>,
}

/// A server that a hollow sidecar registers, and whose lease it renews.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeasedServer {
    /// The name of the server.
    pub name: String,
    /// The duration of the lease in milliseconds.
    pub lease_ms: u64,
    /// The body of its registration, as JSON.
    pub body: String,
}

/// A request over the control connection of a process.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub enum ControlRequest {
    /// Returns the [`Status`] of the process.
    #[serde(rename = "Standing")]
    Status,
    /// Returns the [`Activity`] since the previous such request.
    #[serde(rename = "Take")]
    TakeActivity,
    /// Resets all connections to the replicas.
    #[serde(rename = "Reset")]
    ResetConnections,
    /// Returns the endpoint list of one sidecar, by its number in the process.
    #[serde(rename = "Known")]
    List(usize),
}

/// The state of a process's hollow sidecars, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// The number of sidecars.
    #[serde(rename = "readers")]
    pub sidecars: usize,
    /// Sidecars that have a list.
    #[serde(rename = "listed")]
    pub with_list: usize,
    /// Sidecars whose last poll failed, or that had no response yet.
    #[serde(rename = "away")]
    pub failing: usize,
    /// The earliest, over all sidecars, of the times of each one's last response or failed poll.
    #[serde(rename = "heard_since")]
    pub oldest_outcome: i64,
    /// The lowest list index of a sidecar.
    #[serde(rename = "least")]
    pub lowest_index: u64,
    /// Sidecars with a poll in flight.
    #[serde(rename = "waiting")]
    pub polling: usize,
}

/// What the hollow sidecars of a process did. Times are those of [`monotonic`]. Lists of events begin at the previous
/// [`ControlRequest::TakeActivity`], and so does `regressions`; the other counts begin at the start of the process.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Activity {
    /// The lists that were applied: number of the sidecar, list index, and time.
    #[serde(rename = "told")]
    pub applied: Vec<(u32, u64, i64)>,
    /// The outages that ended: from the first failed poll, or the start of the process, to the next response.
    #[serde(rename = "back")]
    pub recoveries: Vec<(i64, i64)>,
    /// Responses to polls, by replica.
    #[serde(rename = "answers")]
    pub responses: Vec<u64>,
    /// Responses that were a full snapshot of the list, by replica.
    #[serde(rename = "whole")]
    pub snapshots: Vec<u64>,
    /// Bytes read and written, by replica.
    pub bytes: Vec<u64>,
    /// Failed polls.
    #[serde(rename = "failed")]
    pub failed_polls: u64,
    /// Acknowledged lease renewals.
    pub renewals: u64,
    /// Applied lists that were older than the one before, which must never happen.
    #[serde(rename = "went_back")]
    pub regressions: u64,
}

/// The maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Connect timeout, as in real sidecars.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a lease renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Counters of one replica.
#[derive(Default)]
struct Counts {
    responses: AtomicU64,
    snapshots: AtomicU64,
    bytes: AtomicU64,
}

/// What is recorded of one sidecar, for [`Status`] and [`Activity`].
#[derive(Default)]
struct SidecarState {
    version: Version,
    has_list: bool,
    failing_since: Option<i64>,
    last_outcome: i64,
    polling: bool,
    applied: Vec<(u64, i64)>,
    recoveries: Vec<(i64, i64)>,
    regressions: u64,
}

struct Sidecar {
    watcher: Mutex<RegistryWatcher>,
    state: Mutex<SidecarState>,
}

/// The state that all sidecars of the process share.
struct Shared {
    replicas: Vec<SocketAddr>,
    counts: Vec<Counts>,
    failed_polls: AtomicU64,
    renewals: AtomicU64,
    /// The number of resets of all connections so far.
    resets: watch::Sender<u64>,
    sidecars: Vec<Sidecar>,
    started: Instant,
}

fn lock<V>(mutex: &Mutex<V>) -> MutexGuard<'_, V> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the hollow sidecars of an assignment until the process is killed.
pub fn serve(assignment: &Path) -> io::Result<()> {
    let assignment: Assignment = serde_json::from_slice(&std::fs::read(assignment)?)?;
    // A sidecar has two connections for a moment when it changes the replica or sends a hedged request.
    raise_file_limit(2 * assignment.sidecars.len() as u64 + 100)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(run(assignment))
}

async fn run(assignment: Assignment) -> io::Result<()> {
    let Assignment { replicas, sources, control, sidecars } = assignment;
    let now = monotonic();
    let sidecar = |hollow: &HollowSidecar| {
        let settings = Settings { services: hollow.services.clone(), ..Settings::new(replicas.len()) };
        Sidecar {
            watcher: Mutex::new(RegistryWatcher::new(settings, hollow.seed)),
            state: Mutex::new(SidecarState {
                failing_since: Some(now),
                last_outcome: now,
                ..SidecarState::default()
            }),
        }
    };
    let shared = Arc::new(Shared {
        counts: replicas.iter().map(|_| Counts::default()).collect(),
        failed_polls: AtomicU64::new(0),
        renewals: AtomicU64::new(0),
        resets: watch::Sender::new(0),
        sidecars: sidecars.iter().map(sidecar).collect(),
        started: Instant::now(),
        replicas,
    });
    let listener = TcpListener::bind(control).await?;
    for (number, hollow) in sidecars.into_iter().enumerate() {
        let source = sources.get(number % sources.len().max(1)).copied().unwrap_or(Ipv4Addr::LOCALHOST);
        tokio::spawn(Arc::clone(&shared).watch(number, source));
        if let Some(lease) = hollow.lease {
            tokio::spawn(Arc::clone(&shared).keep_lease(lease, source));
        }
    }
    loop {
        let (stream, _) = listener.accept().await?;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            // An error ends the control connection only; the scale run opens a new one for each request.
            let _ = shared.serve_control(stream).await;
        });
    }
}

/// A poll in flight, which ends with the event for the watcher.
type PollFuture = Pin<Box<dyn Future<Output = Event> + Send>>;

impl Shared {
    fn now(&self) -> Micros {
        Micros::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Runs the watcher of one sidecar forever: carries out its actions, as a real sidecar does.
    async fn watch(self: Arc<Self>, number: usize, source: Ipv4Addr) {
        let connections: Vec<CachedConnection> =
            self.replicas.iter().map(|_| CachedConnection::default()).collect();
        let mut polls: Vec<(u64, PollFuture)> = Vec::new();
        let mut event = Event::Start(None);
        let mut actions = Vec::new();
        loop {
            if let Event::Response { poll, .. } | Event::PollFailed { poll, .. } = &event {
                polls.retain(|(sent, _)| sent != poll);
            }
            self.record_event(number, &event);
            let next = {
                let mut watcher = lock(&self.sidecars[number].watcher);
                watcher.handle(self.now(), event, &mut actions);
                for action in actions.drain(..) {
                    match action {
                        Action::Poll { poll, replica, after, wait } => {
                            let path = watcher.poll_path(after, wait);
                            let (shared, cached) = (Arc::clone(&self), Arc::clone(&connections[replica]));
                            let future =
                                async move { shared.poll(poll, replica, cached, source, path).await };
                            polls.push((poll, Box::pin(future)));
                        }
                        Action::CancelPoll(poll) => polls.retain(|(sent, _)| *sent != poll),
                        Action::Apply(applied) => self.record_applied(number, applied.version),
                        // A hollow sidecar has no list file, and failures are counted in `record_event`.
                        Action::Save | Action::Report(_) => {}
                    }
                }
                watcher.next_timer()
            };
            lock(&self.sidecars[number].state).polling = !polls.is_empty();
            let timer = async {
                match next {
                    Some(at) => {
                        sleep_until(self.started + Duration::from_micros(at.max(0).unsigned_abs())).await
                    }
                    None => std::future::pending().await,
                }
            };
            let completed = poll_fn(|context| {
                let mut ready =
                    polls.iter_mut().filter_map(|(_, future)| match future.as_mut().poll(context) {
                        Poll::Ready(event) => Some(event),
                        Poll::Pending => None,
                    });
                ready.next().map_or(Poll::Pending, Poll::Ready)
            });
            event = tokio::select! {
                event = completed => event,
                () = timer => Event::Timer,
            };
        }
    }

    fn record_event(&self, number: usize, event: &Event) {
        let (failed, now) = (matches!(event, Event::PollFailed { .. }), monotonic());
        let mut state = lock(&self.sidecars[number].state);
        if failed {
            self.failed_polls.fetch_add(1, Ordering::Relaxed);
            state.last_outcome = now;
            state.failing_since.get_or_insert(now);
        } else if matches!(event, Event::Response { .. }) {
            state.last_outcome = now;
            state.has_list = true;
            if let Some(since) = state.failing_since.take() {
                state.recoveries.push((since, now));
            }
        }
    }

    fn record_applied(&self, number: usize, version: Version) {
        let mut state = lock(&self.sidecars[number].state);
        if version < state.version {
            state.regressions += 1;
        }
        state.version = version;
        state.applied.push((version.index, monotonic()));
    }

    async fn poll(
        &self,
        poll: u64,
        replica: usize,
        cached: CachedConnection,
        source: Ipv4Addr,
        path: String,
    ) -> Event {
        let failed = |error, retry_after| Event::PollFailed { poll, retry_after, error };
        let counts = &self.counts[replica];
        let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.replicas[replica]);
        match self.exchange(replica, &cached, source, request.as_bytes()).await {
            Ok(Response { status: 200, body, .. }) => match ListUpdate::from_json(&body) {
                Ok(update) => {
                    counts.responses.fetch_add(1, Ordering::Relaxed);
                    counts.snapshots.fetch_add(u64::from(update.snapshot), Ordering::Relaxed);
                    Event::Response { poll, update }
                }
                Err(e) => failed(e.into(), None),
            },
            Ok(response) => {
                let retry_after = response.retry_after.filter(|s| s.is_finite() && *s >= 0.0);
                let retry_after = retry_after.map(|s| (s.min(60.0) * 1e6) as Micros);
                failed(PollError::Status(response.status), retry_after)
            }
            Err(error) => failed(PollError::connection(error), None),
        }
    }

    /// One request over the cached connection or a new one. It fails if all connections are reset meanwhile.
    async fn exchange(
        &self,
        replica: usize,
        cached: &CachedConnection,
        source: Ipv4Addr,
        request: &[u8],
    ) -> io::Result<Response> {
        let mut resets = self.resets.subscribe();
        let generation = *resets.borrow_and_update();
        let idle = lock(cached).take();
        let mut stream = match idle {
            Some((stream, opened_in)) if opened_in == generation && is_alive(&stream) => stream,
            idle => {
                // A connection from before a reset is closed by RST.
                if let Some((stream, opened_in)) = idle
                    && opened_in != generation
                {
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
                let connected = timeout(DIAL_TIMEOUT, connect(source, self.replicas[replica])).await;
                connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??
            }
        };
        let result = tokio::select! {
            response = send_request(&mut stream, request, &self.counts[replica].bytes) => response,
            _ = resets.changed() => Err(io::ErrorKind::ConnectionReset.into()),
        };
        match &result {
            Ok(response) if response.status == 200 => *lock(cached) = Some((stream, generation)),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            _ => {}
        }
        result
    }

    /// Keeps the lease of a server forever: renews it three times per lease duration, and registers the server if the
    /// registry does not know it.
    async fn keep_lease(self: Arc<Self>, lease: LeasedServer, source: Ipv4Addr) {
        let connections: Vec<CachedConnection> =
            self.replicas.iter().map(|_| CachedConnection::default()).collect();
        let interval = Duration::from_millis((lease.lease_ms / 3).max(50));
        let renew =
            format!("POST /v1/servers/{}/renew HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", lease.name);
        let register = format!(
            "PUT /v1/servers/{} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            lease.name,
            lease.body.len(),
            lease.body
        );
        // The renewals of different servers are spread over the interval.
        let mut rng =
            crate::chance::mix(lease.name.bytes().fold(0, |h, b| crate::chance::mix(h ^ u64::from(b))));
        sleep(interval.mul_f64(crate::chance::unit(rng))).await;
        let (mut replica, mut registered) = (0, true);
        loop {
            let request = if registered { &renew } else { &register };
            let result = timeout(
                RENEWAL_TIMEOUT,
                self.exchange(replica, &connections[replica], source, request.as_bytes()),
            )
            .await;
            let pause = match result {
                Ok(Ok(Response { status: 200, .. })) => {
                    if registered {
                        self.renewals.fetch_add(1, Ordering::Relaxed);
                    }
                    registered = true;
                    interval
                }
                Ok(Ok(Response { status: 404, .. })) => {
                    registered = false;
                    Duration::ZERO
                }
                _ => {
                    replica = (replica + 1) % self.replicas.len();
                    rng = crate::chance::mix(rng);
                    interval.mul_f64(0.25 * (0.5 + 0.5 * crate::chance::unit(rng)))
                }
            };
            sleep(pause).await;
        }
    }

    async fn serve_control(&self, stream: TcpStream) -> io::Result<()> {
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        while let Some(line) = lines.next_line().await? {
            let mut response = match serde_json::from_str(&line)? {
                ControlRequest::Status => serde_json::to_string(&self.status())?,
                ControlRequest::TakeActivity => serde_json::to_string(&self.take_activity())?,
                ControlRequest::ResetConnections => {
                    self.resets.send_modify(|n| *n += 1);
                    "null".to_owned()
                }
                ControlRequest::List(number) => {
                    let list: Option<EndpointList> =
                        self.sidecars.get(number).and_then(|s| lock(&s.watcher).list().cloned());
                    serde_json::to_string(&list)?
                }
            };
            response.push('\n');
            writer.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }

    fn status(&self) -> Status {
        let empty = Status { oldest_outcome: i64::MAX, lowest_index: u64::MAX, ..Status::default() };
        self.sidecars.iter().fold(empty, |sum, sidecar| {
            let state = lock(&sidecar.state);
            Status {
                sidecars: sum.sidecars + 1,
                with_list: sum.with_list + usize::from(state.has_list),
                failing: sum.failing + usize::from(state.failing_since.is_some()),
                oldest_outcome: sum.oldest_outcome.min(state.last_outcome),
                lowest_index: sum.lowest_index.min(state.version.index),
                polling: sum.polling + usize::from(state.polling),
            }
        })
    }

    fn take_activity(&self) -> Activity {
        let per_replica = |count: fn(&Counts) -> &AtomicU64| {
            self.counts.iter().map(|c| count(c).load(Ordering::Relaxed)).collect::<Vec<u64>>()
        };
        let mut activity = Activity {
            responses: per_replica(|c| &c.responses),
            snapshots: per_replica(|c| &c.snapshots),
            bytes: per_replica(|c| &c.bytes),
            failed_polls: self.failed_polls.load(Ordering::Relaxed),
            renewals: self.renewals.load(Ordering::Relaxed),
            ..Activity::default()
        };
        for (number, sidecar) in (0u32..).zip(&self.sidecars) {
            let mut state = lock(&sidecar.state);
            activity.applied.extend(state.applied.drain(..).map(|(index, at)| (number, index, at)));
            activity.recoveries.append(&mut state.recoveries);
            activity.regressions += std::mem::take(&mut state.regressions);
        }
        activity
    }
}

/// The idle connection to a replica, if any, with the number of resets of all connections at the time it was opened.
type CachedConnection = Arc<Mutex<Option<(TcpStream, u64)>>>;

/// Whether an idle connection is still open. Unexpected data counts as closed, too.
fn is_alive(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

async fn connect(source: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((source, 0)))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

struct Response {
    status: u16,
    retry_after: Option<f64>,
    body: Vec<u8>,
}

async fn send_request(stream: &mut TcpStream, request: &[u8], bytes: &AtomicU64) -> io::Result<Response> {
    stream.write_all(request).await?;
    bytes.fetch_add(request.len() as u64, Ordering::Relaxed);
    let mut received = Vec::new();
    let (mut response, head_length, body_length) = loop {
        if let Some(found) = parse_head(&received)? {
            break found;
        }
        let read = stream.read_buf(&mut received).await?;
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if read == 0 || received.len() > MAX_RESPONSE_BYTES {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    if body_length > MAX_RESPONSE_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the response is too long"));
    }
    received.reserve((head_length + body_length).saturating_sub(received.len()));
    while received.len() < head_length + body_length {
        let read = stream.read_buf(&mut received).await?;
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    received.drain(..head_length);
    response.body = received;
    Ok(response)
}

/// The response without its body, the length of the head, and the length of the body; `None` while the head is
/// incomplete.
fn parse_head(received: &[u8]) -> io::Result<Option<(Response, usize, usize)>> {
    let invalid = |message: String| io::Error::new(io::ErrorKind::InvalidData, message);
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(end) = head.parse(received).map_err(|e| invalid(e.to_string()))? else {
        return Ok(None);
    };
    let value = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    let length =
        value("content-length").ok_or_else(|| invalid("the response has no content length".into()))?;
    let length = length.parse().map_err(|_| invalid("the length is no number".into()))?;
    let retry_after = value("retry-after").and_then(|v| v.parse().ok());
    Ok(Some((Response { status: head.code.unwrap_or(0), retry_after, body: Vec::new() }, end, length)))
}

//! Hollow sidecars, many in a process of their own: each has the reader that real sidecars have, on sockets of its own,
//! and some hold the lease of a server. The run asks them over a control connection, a line of JSON each way.

use super::{allow_files, monotonic};
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

/// What a process of hollow sidecars is.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Assignment {
    /// Replicas of the roster, as these readers reach them.
    pub replicas: Vec<SocketAddr>,
    /// Addresses that its sockets are bound to, in turn.
    pub sources: Vec<Ipv4Addr>,
    /// Where it is asked.
    pub control: SocketAddr,
    /// Its sidecars.
    pub sidecars: Vec<HollowSidecar>,
}

/// One hollow sidecar.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HollowSidecar {
    /// What its pauses are drawn from.
    pub seed: u64,
    /// The services that it asks for; none for the whole list.
    pub services: Vec<String>,
    /// The server whose lease it holds.
    pub lease: Option<LeasedServer>,
}

/// A server that a hollow sidecar stands in front of.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeasedServer {
    /// Its name.
    pub name: String,
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
    /// What it registers with, as JSON.
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
    /// Sidecars whose last poll failed.
    #[serde(rename = "away")]
    pub failing: usize,
    /// The time of the last response or failure of the sidecar for which that is longest ago.
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
    /// The outages that ended: from the first failed poll to the next response.
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

/// Answers are read up to this.
const LONGEST: usize = 64 << 20;
/// A connection comes up in so long, as in real sidecars.
const DIAL_TIME: Duration = Duration::from_secs(1);
/// A renewal is answered in so long.
const RENEWAL_TIME: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Counts {
    responses: AtomicU64,
    snapshots: AtomicU64,
    bytes: AtomicU64,
}

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

/// What all readers of a process share.
struct Shared {
    replicas: Vec<SocketAddr>,
    counts: Vec<Counts>,
    failed_polls: AtomicU64,
    renewals: AtomicU64,
    resets: watch::Sender<u64>,
    sidecars: Vec<Sidecar>,
    began: Instant,
}

fn lock<V>(of: &Mutex<V>) -> MutexGuard<'_, V> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays hollow sidecars until it is killed.
pub fn serve(assignment: &Path) -> io::Result<()> {
    let assignment: Assignment = serde_json::from_slice(&std::fs::read(assignment)?)?;
    // A reader has two connections for a moment, where it moves from one replica to the next or hedges.
    allow_files(2 * assignment.sidecars.len() as u64 + 100)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(play(assignment))
}

async fn play(assignment: Assignment) -> io::Result<()> {
    let Assignment { replicas, sources, control, sidecars } = assignment;
    let now = monotonic();
    let reader = |hollow: &HollowSidecar| {
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
        sidecars: sidecars.iter().map(reader).collect(),
        began: Instant::now(),
        replicas,
    });
    let listener = TcpListener::bind(control).await?;
    for (number, hollow) in sidecars.into_iter().enumerate() {
        let source = sources.get(number % sources.len().max(1)).copied().unwrap_or(Ipv4Addr::LOCALHOST);
        tokio::spawn(Arc::clone(&shared).read(number, source));
        if let Some(lease) = hollow.lease {
            tokio::spawn(Arc::clone(&shared).hold(lease, source));
        }
    }
    loop {
        let (stream, _) = listener.accept().await?;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            // The run has gone away or asks anew.
            let _ = shared.answer(stream).await;
        });
    }
}

type Call = Pin<Box<dyn Future<Output = Event> + Send>>;

impl Shared {
    fn now(&self) -> Micros {
        Micros::try_from(self.began.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// One reader, for good: carries out what its watcher wants, as a real sidecar does.
    async fn read(self: Arc<Self>, number: usize, source: Ipv4Addr) {
        let links: Vec<Link> = self.replicas.iter().map(|_| Link::default()).collect();
        let mut calls: Vec<(u64, Call)> = Vec::new();
        let mut event = Event::Start(None);
        let mut actions = Vec::new();
        loop {
            if let Event::Response { poll, .. } | Event::PollFailed { poll, .. } = &event {
                calls.retain(|(number, _)| number != poll);
            }
            self.note(number, &event);
            let next = {
                let mut watcher = lock(&self.sidecars[number].watcher);
                watcher.handle(self.now(), event, &mut actions);
                for action in actions.drain(..) {
                    match action {
                        Action::Poll { poll, replica, after, wait } => {
                            let path = watcher.poll_path(after, wait);
                            let (shared, link) = (Arc::clone(&self), Arc::clone(&links[replica]));
                            let call = async move { shared.call(poll, replica, link, source, path).await };
                            calls.push((poll, Box::pin(call)));
                        }
                        Action::CancelPoll(poll) => calls.retain(|(number, _)| *number != poll),
                        Action::Apply(applied) => self.told(number, applied.version),
                        // It has no file; its failures are counted.
                        Action::Save | Action::Report(_) => {}
                    }
                }
                watcher.next_timer()
            };
            lock(&self.sidecars[number].state).polling = !calls.is_empty();
            let timer = async {
                match next {
                    Some(at) => {
                        sleep_until(self.began + Duration::from_micros(at.max(0).unsigned_abs())).await
                    }
                    None => std::future::pending().await,
                }
            };
            let answered = poll_fn(|context| {
                let mut ready = calls.iter_mut().filter_map(|(_, call)| match call.as_mut().poll(context) {
                    Poll::Ready(event) => Some(event),
                    Poll::Pending => None,
                });
                ready.next().map_or(Poll::Pending, Poll::Ready)
            });
            event = tokio::select! {
                event = answered => event,
                () = timer => Event::Timer,
            };
        }
    }

    fn note(&self, number: usize, event: &Event) {
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

    fn told(&self, number: usize, version: Version) {
        let mut state = lock(&self.sidecars[number].state);
        if version < state.version {
            state.regressions += 1;
        }
        state.version = version;
        state.applied.push((version.index, monotonic()));
    }

    async fn call(&self, poll: u64, replica: usize, link: Link, source: Ipv4Addr, path: String) -> Event {
        let failed = |error, retry_after| Event::PollFailed { poll, retry_after, error };
        let counts = &self.counts[replica];
        let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.replicas[replica]);
        match self.exchange(replica, &link, source, request.as_bytes()).await {
            Ok(Answer { status: 200, body, .. }) => match ListUpdate::from_json(&body) {
                Ok(update) => {
                    counts.responses.fetch_add(1, Ordering::Relaxed);
                    counts.snapshots.fetch_add(u64::from(update.snapshot), Ordering::Relaxed);
                    Event::Response { poll, update }
                }
                Err(e) => failed(e.into(), None),
            },
            Ok(answer) => {
                let retry_after = answer.retry_after.filter(|s| s.is_finite() && *s >= 0.0);
                let retry_after = retry_after.map(|s| (s.min(60.0) * 1e6) as Micros);
                failed(PollError::Status(answer.status), retry_after)
            }
            Err(error) => failed(PollError::connection(error), None),
        }
    }

    /// One call over a kept connection, or a new one; a reset of all ends it.
    async fn exchange(
        &self,
        roster: usize,
        link: &Link,
        source: Ipv4Addr,
        request: &[u8],
    ) -> io::Result<Answer> {
        let mut resets = self.resets.subscribe();
        let generation = *resets.borrow_and_update();
        let kept = lock(link).take();
        let mut stream = match kept {
            Some((stream, of)) if of == generation && alive(&stream) => stream,
            kept => {
                // Whatever a reset has met is reset.
                if let Some((stream, of)) = kept
                    && of != generation
                {
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
                let dialled = timeout(DIAL_TIME, dial(source, self.replicas[roster])).await;
                dialled.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??
            }
        };
        let over = tokio::select! {
            answer = ask(&mut stream, request, &self.counts[roster].bytes) => answer,
            _ = resets.changed() => Err(io::ErrorKind::ConnectionReset.into()),
        };
        match &over {
            Ok(answer) if answer.status == 200 => *lock(link) = Some((stream, generation)),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            _ => {}
        }
        over
    }

    /// Holds the lease of a server, for good: renews it three times a lease, and registers it where it is not known.
    async fn hold(self: Arc<Self>, lease: LeasedServer, source: Ipv4Addr) {
        let links: Vec<Link> = self.replicas.iter().map(|_| Link::default()).collect();
        let every = Duration::from_millis((lease.lease_ms / 3).max(50));
        let renew =
            format!("POST /v1/servers/{}/renew HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", lease.name);
        let register = format!(
            "PUT /v1/servers/{} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            lease.name,
            lease.body.len(),
            lease.body
        );
        // All at their own instants.
        let mut rng =
            crate::chance::mix(lease.name.bytes().fold(0, |h, b| crate::chance::mix(h ^ u64::from(b))));
        sleep(every.mul_f64(crate::chance::unit(rng))).await;
        let (mut at, mut listed) = (0, true);
        loop {
            let request = if listed { &renew } else { &register };
            let called =
                timeout(RENEWAL_TIME, self.exchange(at, &links[at], source, request.as_bytes())).await;
            let pause = match called {
                Ok(Ok(Answer { status: 200, .. })) => {
                    if listed {
                        self.renewals.fetch_add(1, Ordering::Relaxed);
                    }
                    listed = true;
                    every
                }
                Ok(Ok(Answer { status: 404, .. })) => {
                    listed = false;
                    Duration::ZERO
                }
                _ => {
                    at = (at + 1) % self.replicas.len();
                    rng = crate::chance::mix(rng);
                    every.mul_f64(0.25 * (0.5 + 0.5 * crate::chance::unit(rng)))
                }
            };
            sleep(pause).await;
        }
    }

    async fn answer(&self, stream: TcpStream) -> io::Result<()> {
        let (from, mut to) = stream.into_split();
        let mut lines = BufReader::new(from).lines();
        while let Some(line) = lines.next_line().await? {
            let mut said = match serde_json::from_str(&line)? {
                ControlRequest::Status => serde_json::to_string(&self.status())?,
                ControlRequest::TakeActivity => serde_json::to_string(&self.take_activity())?,
                ControlRequest::ResetConnections => {
                    self.resets.send_modify(|n| *n += 1);
                    "null".to_owned()
                }
                ControlRequest::List(number) => {
                    let known: Option<EndpointList> =
                        self.sidecars.get(number).and_then(|r| lock(&r.watcher).list().cloned());
                    serde_json::to_string(&known)?
                }
            };
            said.push('\n');
            to.write_all(said.as_bytes()).await?;
        }
        Ok(())
    }

    fn status(&self) -> Status {
        let first = Status { oldest_outcome: i64::MAX, lowest_index: u64::MAX, ..Status::default() };
        self.sidecars.iter().fold(first, |s, reader| {
            let state = lock(&reader.state);
            Status {
                sidecars: s.sidecars + 1,
                with_list: s.with_list + usize::from(state.has_list),
                failing: s.failing + usize::from(state.failing_since.is_some()),
                oldest_outcome: s.oldest_outcome.min(state.last_outcome),
                lowest_index: s.lowest_index.min(state.version.index),
                polling: s.polling + usize::from(state.polling),
            }
        })
    }

    fn take_activity(&self) -> Activity {
        let by = |count: fn(&Counts) -> &AtomicU64| {
            self.counts.iter().map(|c| count(c).load(Ordering::Relaxed)).collect::<Vec<u64>>()
        };
        let mut activity = Activity {
            responses: by(|c| &c.responses),
            snapshots: by(|c| &c.snapshots),
            bytes: by(|c| &c.bytes),
            failed_polls: self.failed_polls.load(Ordering::Relaxed),
            renewals: self.renewals.load(Ordering::Relaxed),
            ..Activity::default()
        };
        for (number, reader) in (0u32..).zip(&self.sidecars) {
            let mut state = lock(&reader.state);
            activity.applied.extend(state.applied.drain(..).map(|(index, at)| (number, index, at)));
            activity.recoveries.append(&mut state.recoveries);
            activity.regressions += std::mem::take(&mut state.regressions);
        }
        activity
    }
}

/// A connection that is kept for the next call to the same replica, and how many resets there had been when it came up.
type Link = Arc<Mutex<Option<(TcpStream, u64)>>>;

/// Whether a kept connection has not ended meanwhile; nothing else may come on it.
fn alive(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

async fn dial(source: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((source, 0)))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

struct Answer {
    status: u16,
    retry_after: Option<f64>,
    body: Vec<u8>,
}

async fn ask(stream: &mut TcpStream, request: &[u8], bytes: &AtomicU64) -> io::Result<Answer> {
    stream.write_all(request).await?;
    bytes.fetch_add(request.len() as u64, Ordering::Relaxed);
    let mut held = Vec::new();
    let (mut answer, head, length) = loop {
        if let Some(found) = head(&held)? {
            break found;
        }
        let read = stream.read_buf(&mut held).await?;
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if read == 0 || held.len() > LONGEST {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    if length > LONGEST {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the answer is too long"));
    }
    held.reserve((head + length).saturating_sub(held.len()));
    while held.len() < head + length {
        let read = stream.read_buf(&mut held).await?;
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    held.drain(..head);
    answer.body = held;
    Ok(answer)
}

/// Status and `Retry-After`, length of the head, and that of the body, once the head is whole.
fn head(held: &[u8]) -> io::Result<Option<(Answer, usize, usize)>> {
    let wrong = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
    let mut slots = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut slots);
    let httparse::Status::Complete(end) = head.parse(held).map_err(|e| wrong(e.to_string()))? else {
        return Ok(None);
    };
    let value = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    let length = value("content-length").ok_or_else(|| wrong("the answer has no length".into()))?;
    let length = length.parse().map_err(|_| wrong("the length is no number".into()))?;
    let retry_after = value("retry-after").and_then(|v| v.parse().ok());
    Ok(Some((Answer { status: head.code.unwrap_or(0), retry_after, body: Vec::new() }, end, length)))
}

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
    pub sidecars: Vec<Hollow>,
}

/// One hollow sidecar.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hollow {
    /// What its pauses are drawn from.
    pub seed: u64,
    /// The services that it asks for; none for the whole list.
    pub services: Vec<String>,
    /// The server whose lease it holds.
    pub lease: Option<Lease>,
}

/// A server that a hollow sidecar stands in front of.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Lease {
    /// Its name.
    pub name: String,
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
    /// What it registers with, as JSON.
    pub body: String,
}

/// What the run asks of a process.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub enum Ask {
    /// How all stand.
    Standing,
    /// What happened since this was asked last.
    Take,
    /// All connections are reset.
    Reset,
    /// The list of one reader.
    Known(usize),
}

/// How the readers of a process stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Standing {
    /// Readers.
    pub readers: usize,
    /// Those that have a list.
    pub listed: usize,
    /// Those whose last call failed.
    pub away: usize,
    /// The instant since which each of them had an answer or a failure.
    pub heard_since: i64,
    /// The lowest index that one of them has.
    pub least: u64,
    /// Watches that wait for an answer.
    pub waiting: usize,
}

/// What happened. Instants are on [`monotonic`]'s clock; counts go on from the start of the process.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Taken {
    /// Lists put into use since this was taken last: reader, index, instant.
    pub told: Vec<(u32, u64, i64)>,
    /// Readers that came back since then: from when they were away, until when.
    pub back: Vec<(i64, i64)>,
    /// Answers by replica.
    pub answers: Vec<u64>,
    /// Of those, whole lists.
    pub whole: Vec<u64>,
    /// Bytes read and written by replica.
    pub bytes: Vec<u64>,
    /// Calls that failed.
    pub failed: u64,
    /// Renewals that were answered.
    pub renewals: u64,
    /// Lists put into use that were older than the one before. That never may be.
    pub went_back: u64,
}

/// Answers are read up to this.
const LONGEST: usize = 64 << 20;
/// A connection comes up in so long, as in real sidecars.
const DIAL_TIME: Duration = Duration::from_secs(1);
/// A renewal is answered in so long.
const RENEWAL_TIME: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Counts {
    answers: AtomicU64,
    whole: AtomicU64,
    bytes: AtomicU64,
}

#[derive(Default)]
struct Seen {
    version: Version,
    listed: bool,
    away_since: Option<i64>,
    heard: i64,
    waiting: bool,
    told: Vec<(u64, i64)>,
    back: Vec<(i64, i64)>,
    went_back: u64,
}

struct Reader {
    watcher: Mutex<RegistryWatcher>,
    seen: Mutex<Seen>,
}

/// What all readers of a process share.
struct Shared {
    replicas: Vec<SocketAddr>,
    counts: Vec<Counts>,
    failed: AtomicU64,
    renewals: AtomicU64,
    resets: watch::Sender<u64>,
    readers: Vec<Reader>,
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
    let reader = |hollow: &Hollow| {
        let settings = Settings { services: hollow.services.clone(), ..Settings::new(replicas.len()) };
        Reader {
            watcher: Mutex::new(RegistryWatcher::new(settings, hollow.seed)),
            seen: Mutex::new(Seen { away_since: Some(now), heard: now, ..Seen::default() }),
        }
    };
    let shared = Arc::new(Shared {
        counts: replicas.iter().map(|_| Counts::default()).collect(),
        failed: AtomicU64::new(0),
        renewals: AtomicU64::new(0),
        resets: watch::Sender::new(0),
        readers: sidecars.iter().map(reader).collect(),
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
                let mut watcher = lock(&self.readers[number].watcher);
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
            lock(&self.readers[number].seen).waiting = !calls.is_empty();
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
        let mut seen = lock(&self.readers[number].seen);
        if failed {
            self.failed.fetch_add(1, Ordering::Relaxed);
            seen.heard = now;
            seen.away_since.get_or_insert(now);
        } else if matches!(event, Event::Response { .. }) {
            seen.heard = now;
            seen.listed = true;
            if let Some(since) = seen.away_since.take() {
                seen.back.push((since, now));
            }
        }
    }

    fn told(&self, number: usize, version: Version) {
        let mut seen = lock(&self.readers[number].seen);
        if version < seen.version {
            seen.went_back += 1;
        }
        seen.version = version;
        seen.told.push((version.index, monotonic()));
    }

    async fn call(&self, poll: u64, replica: usize, link: Link, source: Ipv4Addr, path: String) -> Event {
        let failed = |error, retry_after| Event::PollFailed { poll, retry_after, error };
        let counts = &self.counts[replica];
        let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.replicas[replica]);
        match self.exchange(replica, &link, source, request.as_bytes()).await {
            Ok(Answer { status: 200, body, .. }) => match ListUpdate::from_json(&body) {
                Ok(update) => {
                    counts.answers.fetch_add(1, Ordering::Relaxed);
                    counts.whole.fetch_add(u64::from(update.snapshot), Ordering::Relaxed);
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
    async fn hold(self: Arc<Self>, lease: Lease, source: Ipv4Addr) {
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
                Ask::Standing => serde_json::to_string(&self.standing())?,
                Ask::Take => serde_json::to_string(&self.take())?,
                Ask::Reset => {
                    self.resets.send_modify(|n| *n += 1);
                    "null".to_owned()
                }
                Ask::Known(number) => {
                    let known: Option<EndpointList> =
                        self.readers.get(number).and_then(|r| lock(&r.watcher).list().cloned());
                    serde_json::to_string(&known)?
                }
            };
            said.push('\n');
            to.write_all(said.as_bytes()).await?;
        }
        Ok(())
    }

    fn standing(&self) -> Standing {
        let first = Standing { heard_since: i64::MAX, least: u64::MAX, ..Standing::default() };
        self.readers.iter().fold(first, |s, reader| {
            let seen = lock(&reader.seen);
            Standing {
                readers: s.readers + 1,
                listed: s.listed + usize::from(seen.listed),
                away: s.away + usize::from(seen.away_since.is_some()),
                heard_since: s.heard_since.min(seen.heard),
                least: s.least.min(seen.version.index),
                waiting: s.waiting + usize::from(seen.waiting),
            }
        })
    }

    fn take(&self) -> Taken {
        let by = |count: fn(&Counts) -> &AtomicU64| {
            self.counts.iter().map(|c| count(c).load(Ordering::Relaxed)).collect::<Vec<u64>>()
        };
        let mut taken = Taken {
            answers: by(|c| &c.answers),
            whole: by(|c| &c.whole),
            bytes: by(|c| &c.bytes),
            failed: self.failed.load(Ordering::Relaxed),
            renewals: self.renewals.load(Ordering::Relaxed),
            ..Taken::default()
        };
        for (number, reader) in (0u32..).zip(&self.readers) {
            let mut seen = lock(&reader.seen);
            taken.told.extend(seen.told.drain(..).map(|(index, at)| (number, index, at)));
            taken.back.append(&mut seen.back);
            taken.went_back += std::mem::take(&mut seen.went_back);
        }
        taken
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

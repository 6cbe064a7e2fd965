//! The application's side: accepts its connections, reads one request at a time from each, hands it to the
//! engine and writes its answer. Every wait on a client has a bound, so that none can hold a place for long.

mod accept;
mod reply;

pub use accept::{accept, bind};

use crate::body::{FLOWING, Feed, Framing, KEPT, LONGEST_BODY, Reader, Rest};
use crate::client_liveness::ClientLiveness;
use crate::connection_limiter::{ConnectionPermit, EvictableConnection, WaitState};
use crate::engine::EngineHandle;
use crate::exchange::{Answer, Outgoing};
use crate::io_failure::{IoFailure, RESOURCE_PAUSE};
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::metrics::{ConnectionEnd, RequestOutcome, RuleViolation};
use crate::request::{RequestHead, RequestMetadata, TrafficClasses, end_to_end};
use crate::request_ids::RequestIds;
use crate::request_lifecycle::RequestLifecycle;
use crate::resource_limits::MAX_HEAD_BYTES;
use crate::service_state::ServiceState;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::StatusCode;
use lotusmoor_balancer::{Micros, NewRequest};
use reply::Reply;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// A head has to be there so long after its first byte, the first one so long after its connection, and a body may
/// fall silent for so long: what drips or never ends holds a place no longer. Clients may take 2 s for a head, and
/// whoever is none has to be turned away after 3 s.
const REQUEST_TIME: Duration = Duration::from_millis(2500);
/// Whoever stops in the middle of a body has to be turned away so long after it connected, or began to send its request: 3 s,
/// less what a process that is held up may add.
const STOPS_TIME: Duration = Duration::from_millis(2800);
/// Bytes a second that clients have to send or take on the whole. They may send 64 kB; half of that leaves room for
/// what the network and this process take.
const SLOWEST: usize = 32_000;
/// Most bytes of a body that flows that are read at once.
const PIECE: usize = 16 << 10;
/// A connection that has carried a request may stay silent this long. While not in service, the first request of a
/// new one is waited for no longer than this.
const IDLE: Duration = Duration::from_secs(60);
const IDLE_AT_STOP: Duration = Duration::from_millis(500);
/// A client has to take its answer within this time.
const WRITE_TIME: Duration = Duration::from_secs(2);
/// After the end of what is sent on a connection, how much is still read and for how long: closing on unread bytes
/// resets a connection, and the client may lose an answer that it has not read yet.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 256 << 10;
/// Most parts of an answer that are written at once: its head and a piece with its frame.
const PARTS: usize = 4;
/// First size of the buffer of a connection.
const BUFFER: usize = 2 << 10;
/// Time in which the module says what becomes of a request that has come after its time.
const FIRST_WORD: Duration = Duration::from_millis(10);
/// Time in which the runtime sees what the system holds already.
const LAST_LOOK: Duration = Duration::from_millis(2);

/// What all connections share.
pub struct Shared {
    /// Classes and tenants.
    pub traffic_classes: TrafficClasses,
    /// The engine.
    pub handle: EngineHandle,
    /// Memory for the bodies of requests.
    pub memory: MemoryBudget,
    /// Ids of requests.
    pub ids: RequestIds,
    /// Whether the sidecar is in service.
    pub service: watch::Receiver<ServiceState>,
    /// How long a body or an answer that flows may stand still on the way to its receiver.
    pub stall: Duration,
}

/// Why a connection carries no further request.
enum End {
    /// Its client is told so: nothing it sent after this is looked at.
    Told(StatusCode),
    /// Its client has left or has to take an answer yet that it does not read.
    Left,
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        Self::Left
    }
}

/// How a wait for a request ends.
enum Wait<'a> {
    /// Its first byte is here.
    Begun,
    /// Its client has left.
    Left,
    /// There is none, and the connection is to go. Its permit counts as given up for as long as this is held.
    Over(EvictableConnection<'a>),
}

/// A connection of a client, with what has come in and is not looked at yet.
struct Client {
    stream: Rc<TcpStream>,
    unread: BytesMut,
    /// The last byte read so far came no earlier than this: nothing was there then. What a request waited for after it
    /// came is the client's time all the same.
    arrived: Instant,
    /// A body was given up in the midst of it.
    unfinished: bool,
    /// A request that was read whole, or begins to flow on, and whose answer is not begun.
    pending: Option<Rc<RequestLifecycle>>,
}

impl Drop for Client {
    fn drop(&mut self) {
        if let Some(lifecycle) = self.pending.take()
            && !ClientLiveness::of(&self.stream).left()
        {
            lifecycle.report_violation(RuleViolation::Unanswered);
        }
    }
}

/// A request to be decided on.
struct Api {
    facts: RequestMetadata,
    body: Bytes,
    reader: Reader,
    pace: Pace,
    share: MemoryReservation,
}

/// How fast a body comes.
struct Pace {
    began: Instant,
    last: Instant,
}

impl Pace {
    /// Of a request that began to come then.
    fn since(began: Instant) -> Self {
        Self { began, last: Instant::now() }
    }

    /// The next byte has to come until then, with so many there.
    fn until(&self, received: usize) -> Instant {
        let owed = self.began + STOPS_TIME + sending(received);
        owed.min(self.last + REQUEST_TIME)
    }

    /// For so long nothing was asked of the client.
    fn pause(&mut self, time: Duration) {
        (self.began, self.last) = (self.began + time, self.last + time);
    }
}

/// The longest that a client may take over so many bytes.
fn sending(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / SLOWEST as f64)
}

/// A body that is passed on while it comes.
struct Flowing {
    reader: Reader,
    pace: Pace,
    feed: Feed,
}

async fn connection(stream: TcpStream, not_before: Instant, permit: ConnectionPermit, shared: Rc<Shared>) {
    // Without it an answer could wait for an acknowledgement; it is no reason to turn anyone away.
    let _ = stream.set_nodelay(true);
    let mut client = Client::new(stream, not_before);
    let mut until = Instant::now() + REQUEST_TIME;
    let mut new = true;
    loop {
        match client.await_request(&permit, new, until, &shared).await {
            Wait::Begun => {}
            Wait::Left => return ConnectionEnd::ClientClosed.count(),
            // Its permit is as good as free until it is: nobody else has to go for it.
            Wait::Over(_evictable) => {
                let serving = *shared.service.borrow() == ServiceState::Serving;
                if serving {
                    ConnectionEnd::Idle.count()
                } else {
                    ConnectionEnd::OutOfService.count()
                }
                return client.close_unread().await;
            }
        }
        if !new {
            until = Instant::now() + REQUEST_TIME;
        }
        new = false;
        let (keep_alive, reply) = match client.request(&permit, until, &shared).await {
            Ok((keep_alive, reply)) => {
                (keep_alive && !client.unfinished && *shared.service.borrow() == ServiceState::Serving, reply)
            }
            Err(End::Told(status)) => {
                RequestOutcome::Rejected.count();
                (false, Reply::plain(status))
            }
            Err(End::Left) => return ConnectionEnd::ClientClosed.count(),
        };
        if !client.reply(reply, keep_alive, &mut shared.service.clone()).await {
            return ConnectionEnd::AnswerIncomplete.count();
        }
        if !keep_alive {
            ConnectionEnd::AfterAnswer.count();
            return client.close_answered().await;
        }
        // Clients send the next request once they have this answer.
        client.arrived = Instant::now();
        until = client.arrived + IDLE;
    }
}

/// Waits until a call on a client's connection that failed may be made again.
async fn go_on_after(error: io::Error) -> io::Result<()> {
    match IoFailure::of(&error) {
        IoFailure::NotReady | IoFailure::Interrupted => Ok(()),
        IoFailure::Shortage => {
            sleep(RESOURCE_PAUSE).await;
            Ok(())
        }
        IoFailure::Final => Err(error),
    }
}

impl Client {
    /// Of a connection on which nothing came before that.
    fn new(stream: TcpStream, not_before: Instant) -> Self {
        Self {
            stream: Rc::new(stream),
            unread: BytesMut::new(),
            arrived: not_before,
            unfinished: false,
            pending: None,
        }
    }

    /// Waits for the first byte of a request. A connection that is to be closed, for whatever reason, is looked at
    /// once more: what has come in is still read. One that is out of service closes what rests; a client that has
    /// just connected is owed the answer to what it came for.
    async fn await_request<'a>(
        &mut self,
        permit: &'a ConnectionPermit,
        new: bool,
        mut until: Instant,
        shared: &Shared,
    ) -> Wait<'a> {
        if !self.unread.is_empty() {
            return Wait::Begun;
        }
        let evictable = permit.evictable(if new { WaitState::New } else { WaitState::Used });
        let mut service = shared.service.clone();
        let mut serving = *service.borrow_and_update() == ServiceState::Serving;
        if !serving {
            until = until.min(Instant::now() + IDLE_AT_STOP);
        }
        let read = loop {
            tokio::select! {
                biased;
                read = self.fill(BUFFER) => break Some(read),
                () = evictable.evicted() => break None,
                () = sleep_until(until) => break None,
                _ = service.changed(), if serving => {
                    if !new {
                        break None;
                    }
                    (serving, until) = (false, until.min(Instant::now() + IDLE_AT_STOP));
                }
            }
        };
        let read = match read {
            Some(read) => Ok(read),
            None => timeout(LAST_LOOK, self.fill(BUFFER)).await,
        };
        match read {
            Ok(Ok(())) => Wait::Begun,
            Ok(Err(_)) => Wait::Left,
            Err(_) => Wait::Over(evictable),
        }
    }

    /// Reads what comes, `most` bytes of it; the end of the connection is an error.
    async fn fill(&mut self, most: usize) -> io::Result<()> {
        self.unread.reserve(most);
        loop {
            match self.stream.try_read_buf(&mut (&mut self.unread).limit(most)) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => return Ok(()),
                Err(e) if IoFailure::of(&e) == IoFailure::NotReady => {
                    self.stream.readable().await?;
                    self.arrived = Instant::now();
                }
                Err(e) => go_on_after(e).await?,
            }
        }
    }

    /// Writes some of it.
    async fn put(&self, bytes: &mut impl Buf) -> io::Result<()> {
        loop {
            self.stream.writable().await?;
            let mut parts = [IoSlice::new(&[]); PARTS];
            let filled = bytes.chunks_vectored(&mut parts);
            match self.stream.try_write_vectored(&parts[..filled]) {
                Ok(length) => {
                    bytes.advance(length);
                    return Ok(());
                }
                Err(e) => go_on_after(e).await?,
            }
        }
    }

    /// Writes all of it.
    async fn put_all(&self, mut bytes: impl Buf) -> io::Result<()> {
        while bytes.has_remaining() {
            self.put(&mut bytes).await?;
        }
        Ok(())
    }

    /// Reads one request and gets its answer.
    async fn request(
        &mut self,
        permit: &ConnectionPermit,
        until: Instant,
        shared: &Shared,
    ) -> Result<(bool, Reply), End> {
        let evictable = permit.evictable(WaitState::ReadingRequest);
        let (head, api) = tokio::select! {
            biased;
            read = self.read(until, shared) => read?,
            () = evictable.evicted() => return Err(End::Told(StatusCode::REQUEST_TIMEOUT)),
        };
        drop(evictable);
        let serving = *shared.service.borrow() == ServiceState::Serving;
        let Some(Api { facts, body, reader, pace, share }) = api else {
            let up = if serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return Ok((head.keep_alive, Reply::plain(up)));
        };
        // Clients send one request at a time. What follows one that has no answer yet is no client's of ours,
        // or belongs to a body that is longer than it was said to be.
        if reader.ended() && !self.unread.is_empty() {
            return Err(End::Told(StatusCode::BAD_REQUEST));
        }
        // Until its answer is out, and for a while after: an endpoint can't tell two requests of one id apart.
        let id = shared.ids.open(&facts.id, Instant::now()).ok_or(End::Told(StatusCode::CONFLICT))?;
        // Its time counts from its last byte, which may be some way off, and may have come a while ago.
        let due_after = |arrived| shared.handle.time_of(arrived).saturating_add(facts.time_left);
        let mut due = due_after(self.arrived);
        let (mut flowing, mut rest) = (None, None);
        if !reader.ended() {
            let length = reader.length();
            let to_come = sending(length.unwrap_or(LONGEST_BODY).saturating_sub(reader.received()));
            due = due.saturating_add(Micros::try_from(to_come.as_micros()).unwrap_or(Micros::MAX));
            let (feed, fed) = Rest::new(length);
            (flowing, rest) = (Some(Flowing { reader, pace, feed }), Some(fed));
        }
        let client = Some(ClientLiveness::of(&self.stream));
        let lifecycle = RequestLifecycle::new(&facts.id, client, flowing.is_some());
        lifecycle.set_earliest_deadline(shared.handle.instant(due_after(self.arrived)));
        self.pending = Some(Rc::clone(&lifecycle));
        let outgoing = Outgoing {
            method: head.method,
            uri: head.uri,
            headers: end_to_end(head.headers),
            body,
            rest,
            lifecycle: Rc::clone(&lifecycle),
            _share: Some(share),
        };
        let request = NewRequest {
            id: 0,
            class: facts.class,
            tenant: facts.tenant,
            partition_key: facts.partition_key,
            deadline: due,
            expected_work: facts.expected_work,
            is_client_retry: facts.is_client_retry,
            body_incomplete: flowing.is_some(),
        };
        let mut pending = shared.handle.submit(request, outgoing);
        // One that has come too late is refused by the module, which promises that it never ran.
        let first_word = Instant::now() + FIRST_WORD;
        let mut service = shared.service.clone();
        // The module answers in time by itself. The last two bound it from outside; they and a client that
        // leaves or goes on sending drop what is owed, which tells the module that the request is over.
        let answer = loop {
            tokio::select! {
                biased;
                answer = pending.answer() => break answer,
                more = self.more(&mut flowing, shared.stall) => match more {
                    Ok(()) if flowing.is_some() => {
                        flowing.take().into_iter().for_each(|flowing| flowing.feed.end());
                        due = due_after(self.arrived);
                        lifecycle.set_earliest_deadline(shared.handle.instant(due));
                        pending.body_received(due);
                    }
                    Ok(()) => return Err(End::Told(StatusCode::BAD_REQUEST)),
                    Err(end) => return Err(end),
                },
                () = sleep_until(shared.handle.instant(due).max(first_word)) => {
                    RequestOutcome::DeadlineExceeded.count();
                    break Answer::Failed;
                }
                _ = service.wait_for(|s| *s == ServiceState::Aborting) => {
                    RequestOutcome::ShutDown.count();
                    break Answer::Failed;
                }
            }
        };
        self.unfinished = flowing.is_some();
        let mut reply = Reply::of(answer, id);
        // Who knows of no chunks is told the end by the end of the connection.
        reply.chunked = reply.body.length.is_none() && !head.is_http_1_0;
        let told = reply.chunked || reply.body.length.is_some();
        Ok((head.keep_alive && told, reply))
    }

    /// Passes on the rest of a body, up to its end; without one, waits for what must not come.
    async fn more(&mut self, flowing: &mut Option<Flowing>, stall: Duration) -> Result<(), End> {
        let Some(Flowing { reader, pace, feed }) = flowing else { return Ok(self.fill(BUFFER).await?) };
        let client = ClientLiveness::of(&self.stream);
        while !reader.ended() {
            match reader.take(&mut self.unread).map_err(End::Told)? {
                Some(piece) => {
                    let since = Instant::now();
                    // What is read next may come from now on, while this piece waits for its endpoint.
                    self.arrived = since;
                    let put = tokio::select! {
                        biased;
                        put = timeout(stall, feed.put(piece)) => put,
                        // What it sends is not read meanwhile, nor that it is gone.
                        () = client.gone() => return Err(End::Left),
                    };
                    match put {
                        Ok(true) => pace.pause(since.elapsed()),
                        // The request is over; its answer is about to be looked at.
                        Ok(false) => std::future::pending().await,
                        Err(_) => return Err(End::Told(StatusCode::GATEWAY_TIMEOUT)),
                    }
                }
                None if reader.ended() => {}
                None => self.fill_body(reader, pace).await?,
            }
        }
        // What follows is no client's of ours, as above.
        if self.unread.is_empty() { Ok(()) } else { Err(End::Told(StatusCode::BAD_REQUEST)) }
    }

    /// Reads more of a body, as long as its client is fast enough.
    async fn fill_body(&mut self, reader: &Reader, pace: &mut Pace) -> Result<(), End> {
        match timeout_at(pace.until(reader.received()), self.fill(reader.wants(PIECE))).await {
            Ok(read) => read?,
            Err(_) => return Err(End::Told(StatusCode::REQUEST_TIMEOUT)),
        }
        pace.last = Instant::now();
        Ok(())
    }

    /// Reads one request, as far as it is worth it and is kept; one that only asks whether the sidecar is up has no
    /// more than its head.
    async fn read(&mut self, until: Instant, shared: &Shared) -> Result<(RequestHead, Option<Api>), End> {
        let late = |_| End::Told(StatusCode::REQUEST_TIMEOUT);
        let head = timeout_at(until, self.head()).await.map_err(late)??;
        match head.uri.path() {
            "/up" if head.body == Framing::Sized(0) => return Ok((head, None)),
            path if path == "/api" || path.starts_with("/api/") => {}
            _ => return Err(End::Told(StatusCode::NOT_FOUND)),
        }
        let facts = RequestMetadata::parse(&shared.traffic_classes, &head)
            .ok_or(End::Told(StatusCode::BAD_REQUEST))?;
        let taken = head.body.length().filter(|length| *length <= KEPT).unwrap_or(FLOWING);
        let client = ClientLiveness::of(&self.stream);
        let mut pace = Pace::since(until - REQUEST_TIME);
        // Its client may be waiting for its answer, for all that is known.
        let (began, left) = (Instant::now(), Duration::from_micros(facts.time_left.unsigned_abs()));
        let bound = (self.arrived + left).min(began + REQUEST_TIME);
        let share = tokio::select! {
            biased;
            share = timeout_at(bound, shared.memory.reserve(taken)) => {
                share.map_err(|_| End::Told(StatusCode::SERVICE_UNAVAILABLE))?
            }
            () = client.gone() => return Err(End::Left),
        };
        pace.pause(began.elapsed());
        let mut reader = Reader::new(head.body);
        let body = self.body(&head, &mut reader, &mut pace).await?;
        Ok((head, Some(Api { facts, body, reader, pace, share })))
    }

    /// Reads a head. Looks for it anew only when there is twice as much, or a blank line: otherwise one that
    /// comes byte by byte would be read as many times.
    async fn head(&mut self) -> Result<RequestHead, End> {
        let (mut looked_at, mut next) = (0, 0);
        loop {
            let new = &self.unread[looked_at..];
            let ended = new.windows(3).any(|w| w == b"\n\r\n") || new.windows(2).any(|w| w == b"\n\n");
            if ended || self.unread.len() >= next.min(MAX_HEAD_BYTES) {
                if let Some((head, length)) = RequestHead::parse(&self.unread).map_err(End::Told)? {
                    self.unread.advance(length);
                    return Ok(head);
                }
                next = 2 * self.unread.len();
            }
            // The blank line may come in pieces as well.
            looked_at = self.unread.len().saturating_sub(2);
            self.fill(BUFFER).await?;
        }
    }

    /// Reads the body behind a head, or as much of it as is kept.
    async fn body(&mut self, head: &RequestHead, reader: &mut Reader, pace: &mut Pace) -> Result<Bytes, End> {
        if head.expects_continue && head.body.length().is_none_or(|length| self.unread.len() < length) {
            self.put_all(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]).await?;
        }
        let mut kept = BytesMut::new();
        while !reader.ended() && kept.len() < KEPT {
            match reader.take(&mut self.unread).map_err(End::Told)? {
                Some(piece) if kept.is_empty() && reader.ended() => return Ok(piece),
                Some(piece) => kept.extend_from_slice(&piece),
                None if reader.ended() => {}
                None => self.fill_body(reader, pace).await?,
            }
        }
        Ok(kept.freeze())
    }

    /// Writes an answer; whether its client has taken it.
    async fn reply(
        &mut self,
        mut reply: Reply,
        keep_alive: bool,
        service: &mut watch::Receiver<ServiceState>,
    ) -> bool {
        self.pending = None;
        let head = reply.head(keep_alive);
        let first = std::mem::take(&mut reply.body.first);
        let bytes = head.chain(reply.piece(first));
        let Some(mut rest) = reply.body.rest.take() else {
            return matches!(timeout(WRITE_TIME, self.put_all(bytes)).await, Ok(Ok(())));
        };
        // With much of it in the system's buffer, a slow client would seem to take nothing for a long time. The
        // system holds up to twice as much as it is told, and may want room for all of that before it takes more.
        let _ = SockRef::from(&*self.stream).set_send_buffer_size(FLOWING);
        let stall = sending(2 * FLOWING);
        let mut taken = self.write(bytes, stall).await;
        while taken {
            let next = tokio::select! {
                biased;
                piece = rest.recv() => piece,
                _ = service.wait_for(|s| *s == ServiceState::Aborting) => None,
            };
            match next {
                Some(piece) if !piece.is_empty() => {
                    taken = self.write(reply.piece(piece), stall).await;
                }
                Some(_) => return !reply.chunked || self.write(&b"0\r\n\r\n"[..], stall).await,
                // It broke off. A client that knows the end of it only by the connection's must see a reset.
                None => {
                    if !reply.chunked && reply.body.length.is_none() {
                        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
                    }
                    return false;
                }
            }
        }
        false
    }

    /// Writes all of it, as long as its client takes some of it within that time.
    async fn write(&mut self, mut bytes: impl Buf, stall: Duration) -> bool {
        while bytes.has_remaining() {
            if !matches!(timeout(stall, self.put(&mut bytes)).await, Ok(Ok(()))) {
                return false;
            }
        }
        true
    }

    /// Closes a connection that rests. What comes after the end of what is sent may be a request: it is left unread,
    /// and a close over it resets the connection, so that its client knows and asks anew. Nothing else is lost by that,
    /// as clients send a request once they have the answer before it.
    async fn close_unread(self) {
        let last = async {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            loop {
                match self.stream.peek(&mut [0]).await {
                    Err(e) => go_on_after(e).await?,
                    // The client has closed as well, or sent what is not read any more.
                    Ok(_) => return io::Result::Ok(()),
                }
            }
        };
        // However it ends, nothing is left to be done.
        let _ = timeout(LINGER, last).await;
    }

    /// Closes a connection behind an answer that says so. Ends what is sent, and lets the client read that: a reset
    /// could take the answer with it. What comes meanwhile is no request, as its client is told.
    async fn close_answered(mut self) {
        let time = if self.unfinished { REQUEST_TIME } else { LINGER };
        let last = async {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            self.unread = BytesMut::new();
            let (mut seen, most) = (0, if self.unfinished { LONGEST_BODY } else { LINGER_BYTES });
            while seen < most {
                self.fill(BUFFER * 4).await?;
                seen += self.unread.len();
                self.unread.clear();
            }
            io::Result::Ok(())
        };
        // However it ends, nothing is left to be done.
        let _ = timeout(time, last).await;
    }
}

#[cfg(test)]
mod tests;

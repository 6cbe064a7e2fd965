//! Endpoints, the connections kept to them, and the attempts made over those.

use crate::body::{FLOWING, Inbound, KEPT, LONGEST_BODY, Rest};
use crate::connection::{Connection, socket_for};
use crate::exchange::{Answer, AttemptResult, Input, Inputs, Outgoing, Served};
use crate::idle::IdleBound;
use crate::io_failure::IoFailure;
use crate::memory_budget::MemoryBudget;
use crate::request_lifecycle::RequestLifecycle;
use crate::resource_limits::ResourceLimits;
use crate::send_gate::{GatedSend, SendGuard, SendPermit};
use crate::write_progress::WriteProgress;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, StatusCode, Uri};
use lotusmoor_balancer::{AttemptNumber, LoadReport, Micros, Outcome, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long a connection rests after an answer before it carries the next request: bytes that are right behind
/// an answer, a second copy of it say, have come by then, and would else pass for the answer to that request.
const REST: Duration = Duration::from_millis(5);
/// An idle connection is retired this part of its idle time before the endpoint would close it: a request
/// written later than that would end as a reset.
const IDLE_MARGIN: u32 = 8;
/// How long an endpoint may bring nothing of an answer that flows, or take nothing of a body. It still gives what it
/// gives slowly; the protocol counts no client as waiting for longer than this.
pub const STALL: Duration = Duration::from_secs(3);

/// How long a probe may take.
const PROBE_TIME: Duration = Duration::from_secs(1);

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const BACKEND_LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// An endpoint as the sockets see it: where it is, whether it may be sent anything, and idle connections.
#[derive(Default)]
pub struct Endpoint {
    address: Cell<Option<SocketAddr>>,
    ready: Cell<bool>,
    /// Operators have taken it out.
    cordoned: Cell<bool>,
    /// When its process last started, as listed.
    started: Cell<i64>,
    /// Counts what ends all permission to send to it: it was told to leave, has moved, was taken out, is a new process.
    term: Cell<u64>,
    /// The most recently used one is last.
    idle: RefCell<Vec<Idle>>,
}

struct Idle {
    connection: Connection,
    permit: OwnedSemaphorePermit,
    since: Instant,
}

/// The permission to send to an endpoint, as of the decision to send.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct SendPermission {
    address: SocketAddr,
    term: u64,
}

/// An attempt as it was decided: where to, and how long it may wait for its answer and for its first byte to go.
pub struct Grant {
    /// The endpoint.
    pub to: Rc<Endpoint>,
    /// The permission to send there.
    pub permission: Option<SendPermission>,
    /// No answer is waited for after this.
    pub until: Instant,
    /// Nothing may begin to be written after this, where there is such a bound.
    pub write_by: Option<Instant>,
}

impl Endpoint {
    /// Follows the list. What was decided for another address or for the process before this one holds no more, and
    /// the idle connections to it are closed.
    pub fn set(&self, address: Option<SocketAddr>, ready: bool, started: i64) {
        if self.address.get() != address || !ready || self.started.get() != started {
            self.revoke();
        }
        self.address.set(address);
        self.started.set(started);
        self.ready.set(ready && address.is_some());
    }

    /// Follows operators.
    pub fn cordon(&self, out: bool) {
        self.cordoned.set(out);
        if out {
            self.revoke();
        }
    }

    fn revoke(&self) {
        self.term.set(self.term.get() + 1);
        self.close_idle();
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// The permission to send, if anything may be sent at all.
    pub fn permission(&self) -> Option<SendPermission> {
        let address = self.address.get().filter(|_| self.ready.get() && !self.cordoned.get())?;
        Some(SendPermission { address, term: self.term.get() })
    }
}

/// Whether an endpoint may still be sent to as it might when that was decided.
trait Permits {
    fn permits(&self, permission: Option<SendPermission>) -> Box<dyn Fn() -> bool>;
}

impl Permits for Rc<Endpoint> {
    fn permits(&self, permission: Option<SendPermission>) -> Box<dyn Fn() -> bool> {
        let endpoint = Rc::clone(self);
        Box::new(move || permission.is_some() && endpoint.permission() == permission)
    }
}

/// All endpoints and the bounds on connections to them.
pub struct Upstream {
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
    permits: Arc<Semaphore>,
    memory: MemoryBudget,
    dial_timeout: Duration,
    idle_bound: RefCell<IdleBound>,
    parked: Notify,
}

type Reply = (Outcome, Option<Answer>, LoadReport);

/// What an exchange comes to.
enum Exchanged {
    /// It is over.
    Over(Reply),
    /// The answer has begun and is the client's, to whom the rest flows.
    Flows(Reply, Box<Flow>),
}

/// The rest of an answer.
struct Flow {
    connection: Connection,
    permit: OwnedSemaphorePermit,
    permission: SendPermission,
    body: Incoming,
    seen: usize,
    client: mpsc::Sender<Bytes>,
}

impl Upstream {
    /// As many connections as `limits` say, made within `dial_timeout`, closed by endpoints after `idle_close`.
    pub fn new(limits: ResourceLimits, dial_timeout: Micros, idle_close: Micros) -> Self {
        let time = |us: Micros| Duration::from_micros(us.unsigned_abs());
        let idle_close = time(if idle_close > 0 { idle_close } else { 10_000_000 });
        Self {
            endpoints: RefCell::default(),
            permits: Arc::new(Semaphore::new(limits.upstream)),
            memory: MemoryBudget::new(limits.bodies),
            dial_timeout: time(if dial_timeout > 0 { dial_timeout } else { 250_000 }),
            idle_bound: RefCell::new(IdleBound::new(idle_close - idle_close / IDLE_MARGIN, Instant::now())),
            parked: Notify::new(),
        }
    }

    /// The endpoint of that number; those up to it come into being.
    pub fn endpoint(&self, id: usize) -> Rc<Endpoint> {
        let mut endpoints = self.endpoints.borrow_mut();
        while endpoints.len() <= id {
            endpoints.push(Rc::default());
        }
        Rc::clone(&endpoints[id])
    }

    /// Endpoints that are not among these are gone.
    pub fn keep_only(&self, listed: &HashSet<usize>) {
        for (id, endpoint) in self.endpoints.borrow().iter().enumerate() {
            if !listed.contains(&id) {
                endpoint.set(None, false, 0);
            }
        }
    }

    /// The number of an endpoint that is gone may be another's next; what still holds this one writes nothing.
    pub fn forget(&self, id: usize) {
        if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(id) {
            endpoint.set(None, false, 0);
            *endpoint = Rc::default();
        }
    }

    /// Makes one attempt, for which there was permission when it was decided, and tells how it ended.
    pub async fn attempt(
        self: Rc<Self>,
        (request, attempt): (RequestId, AttemptNumber),
        grant: Grant,
        outgoing: Rc<Outgoing>,
        inputs: Inputs,
    ) {
        let Grant { to: endpoint, permission, until, write_by } = grant;
        let length = outgoing.rest.as_ref().map_or(Some(outgoing.body.len()), Rest::length);
        let send = GatedSend::new(SendPermit {
            lifecycle: Rc::clone(&outgoing.lifecycle),
            endpoint: endpoint.permits(permission),
            // The time of a body that flows is its client's.
            until: outgoing.rest.is_none().then_some(until),
            write_by,
        });
        // Also where this attempt is called back, which drops it here.
        let _ends = SendGuard(Rc::clone(&send));
        let progress = WriteProgress::of_send(length, send);
        let exchange = self.exchange(&endpoint, permission, &outgoing, &progress, until);
        // The time of a body that flows is its client's: the module ends what is overdue after its last byte.
        let exchanged = match &outgoing.rest {
            None => timeout_at(until, exchange).await,
            Some(_) => Ok(exchange.await),
        };
        // What has not wholly been written never began, whoever gave up first.
        let exchanged = exchanged.unwrap_or_else(|_| {
            let outcome = if progress.complete() { Outcome::TimedOut } else { Outcome::ConnectFailed };
            Exchanged::Over((outcome, None, LoadReport::default()))
        });
        let ((outcome, answer, load), flow) = match exchanged {
            Exchanged::Over(reply) => (reply, None),
            Exchanged::Flows(reply, flow) => (reply, Some(flow)),
        };
        inputs.send(Input::AttemptEnded(AttemptResult { request, attempt, outcome, answer, load }));
        if let Some(flow) = flow {
            self.flow(&endpoint, *flow).await;
        }
    }

    /// Passes on the rest of an answer as fast as its client takes it. Whatever breaks it off leaves the client
    /// without its end.
    async fn flow(&self, endpoint: &Endpoint, flow: Flow) {
        let Flow { mut connection, permit, permission, mut body, mut seen, client } = flow;
        loop {
            let frame = tokio::select! {
                biased;
                frame = connection.drive(body.frame()) => frame,
                () = client.closed() => return,
                () = sleep(STALL) => return,
            };
            let piece = match frame {
                Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Some(None) => break,
                _ => return,
            };
            seen += piece.len();
            // Trailers are no part of the body.
            if seen > LONGEST_BODY || !piece.is_empty() && client.send(piece).await.is_err() {
                return;
            }
        }
        if client.send(Bytes::new()).await.is_ok() {
            self.park(endpoint, permission, connection, permit).await;
        }
    }

    async fn exchange(
        &self,
        endpoint: &Endpoint,
        permission: Option<SendPermission>,
        out: &Outgoing,
        progress: &WriteProgress,
        until: Instant,
    ) -> Exchanged {
        let plain = |outcome| Exchanged::Over((outcome, None, LoadReport::default()));
        loop {
            let Some(permission) = permission else { return plain(Outcome::NotSent) };
            let (mut connection, permit, idle) = match self.reuse(endpoint) {
                Some((connection, permit, idle)) => (connection, permit, Some(idle)),
                None => match self.dial(permission.address).await {
                    Ok((connection, permit)) => (connection, permit, None),
                    Err(outcome) => return plain(outcome),
                },
            };
            // It may have come up late, and be of use to the next one. One that is kept is written to at once.
            if idle.is_none() && !progress.may_write() {
                self.park(endpoint, permission, connection, permit).await;
                return plain(Outcome::NotSent);
            }
            let Some(request) = out.request(until, progress) else { return plain(Outcome::NotSent) };
            let asked = Instant::now();
            let response = connection.request(request, progress.clone()).await;
            self.note_use(idle, response.is_err() && connection.broken() && !progress.heard());
            let Ok(response) = response else {
                if progress.denied() {
                    return plain(Outcome::NotSent);
                }
                // Closed by the endpoint in the moment it was taken up again, before anything was written.
                if idle.is_some() && !progress.begun() && !out.body_consumed() {
                    continue;
                }
                return plain(match connection.failure() {
                    _ if !progress.complete() => Outcome::ConnectFailed,
                    Outcome::Reset if idle.is_some() && !progress.heard() => Outcome::ReusedConnectionReset,
                    failure => failure,
                });
            };
            let (head, body) = response.into_parts();
            let load = head.headers.get(BACKEND_LOAD).map(read_load).unwrap_or_default();
            let says = |name, word: &str| {
                let values = head.headers.get_all(name).iter().filter_map(|v| v.to_str().ok());
                values.map(|v| v.eq_ignore_ascii_case(word)).next_back()
            };
            let length = body.size_hint();
            let framed = match (head.headers.contains_key(CONTENT_LENGTH), says(TRANSFER_ENCODING, "chunked"))
            {
                (true, None) | (false, Some(true)) => true,
                // It ends with its connection. Where that was not to be expected, it may have been cut off.
                (false, None) => says(CONNECTION, "close") == Some(true) || length.exact() == Some(0),
                _ => false,
            };
            // It has run, but what came back is of no use, and nothing behind it can be told apart from it: the
            // connection goes. A length that is too large is not read to its end, which may never come.
            if !framed || head.status.is_informational() || length.lower() > LONGEST_BODY as u64 {
                return Exchanged::Over((Outcome::Error, None, load));
            }
            let length = length.exact().map(|length| length as usize);
            let share = self.memory.reserve(length.filter(|l| *l <= KEPT).unwrap_or(FLOWING)).await;
            let mut body = body;
            let mut kept = BytesMut::new();
            // Known to be longer than is kept, it is passed on from its first byte. Of unknown length, it may be the
            // first of a long one that comes slowly: it is held back for half as long as it took to begin.
            let held = match length {
                None => asked.elapsed() / 2 + REST,
                Some(length) if length > KEPT => Duration::ZERO,
                Some(_) => Duration::MAX,
            };
            let begun = Instant::now();
            let flows = loop {
                let left = held.checked_sub(begun.elapsed());
                if kept.len() > KEPT || !kept.is_empty() && left.is_none_or(|left| left.is_zero()) {
                    break true;
                }
                let frame = connection.drive(body.frame());
                // Without a byte there is nothing to pass on.
                let frame = match left.filter(|_| !kept.is_empty()) {
                    Some(left) => timeout(left, frame).await,
                    None => Ok(frame.await),
                };
                let Ok(frame) = frame else { continue };
                match frame {
                    Some(Some(Ok(frame))) => kept.extend_from_slice(&frame.into_data().unwrap_or_default()),
                    Some(None) => break false,
                    _ => return Exchanged::Over((connection.failure(), None, load)),
                }
            };
            let first = kept.freeze();
            if flows {
                if head.status != StatusCode::OK {
                    return Exchanged::Over((Outcome::Error, None, load));
                }
                let ((client, rest), seen) = (mpsc::channel(1), first.len());
                let body_of = Inbound { first, rest: Some(rest), length };
                let served = Served { headers: head.headers, body: body_of, share };
                let flow = Flow { connection, permit, permission, body, seen, client };
                return Exchanged::Flows((Outcome::Ok, Some(Answer::Served(served)), load), Box::new(flow));
            }
            self.park(endpoint, permission, connection, permit).await;
            let unprocessed = head.headers.get(UNPROCESSED).is_some_and(|v| v == "1");
            return Exchanged::Over(match head.status {
                StatusCode::OK => {
                    let served = Served { headers: head.headers, body: Inbound::whole(first), share };
                    (Outcome::Ok, Some(Answer::Served(served)), load)
                }
                // Its judgement of the request is as good as any other's, and is passed on.
                status if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS => {
                    (Outcome::BadRequest, Some(Answer::ClientError(status)), load)
                }
                // Only the whole of such an answer is believed: one that is spoilt has run.
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
                    (Outcome::Rejected, None, load)
                }
                _ => (Outcome::Error, None, load),
            });
        }
    }

    /// Probes an endpoint, where the settings allow it, and tells how that ended.
    pub async fn health_check(self: Rc<Self>, id: usize, inputs: Inputs) {
        let (start, endpoint) = (Instant::now(), self.endpoint(id));
        let mut headers = HeaderMap::new();
        headers.insert(hyper::header::HOST, HeaderValue::from_static("endpoint"));
        let uri = Uri::from_static("/alive");
        let outgoing = Outgoing {
            method: Method::GET,
            uri,
            headers,
            body: Bytes::new(),
            rest: None,
            lifecycle: RequestLifecycle::new(b"probe", None, false),
            _share: None,
        };
        let (until, permission) = (start + PROBE_TIME, endpoint.permission());
        let send = GatedSend::new(SendPermit {
            lifecycle: Rc::clone(&outgoing.lifecycle),
            endpoint: endpoint.permits(permission),
            until: Some(until),
            write_by: None,
        });
        let _ends = SendGuard(Rc::clone(&send));
        let progress = WriteProgress::of_send(Some(0), send);
        let (outcome, load) = match timeout_at(
            until,
            self.exchange(&endpoint, permission, &outgoing, &progress, until),
        )
        .await
        {
            Ok(Exchanged::Over((outcome, _, load)) | Exchanged::Flows((outcome, _, load), _)) => {
                (outcome, load)
            }
            Err(_) => (Outcome::TimedOut, LoadReport::default()),
        };
        let took = Micros::try_from(start.elapsed().as_micros()).unwrap_or(Micros::MAX);
        inputs.send(Input::HealthCheckEnded(id, outcome, took, load));
    }

    /// The most recently used idle connection that has rested and is still good: the others may then grow old
    /// and close.
    fn reuse(&self, endpoint: &Endpoint) -> Option<(Connection, OwnedSemaphorePermit, Duration)> {
        let bound = self.idle_bound.borrow_mut().get(Instant::now());
        let mut idle = endpoint.idle.borrow_mut();
        loop {
            let rested = idle.iter().rposition(|i| i.since.elapsed() >= REST)?;
            let Idle { connection, permit, since } = idle.remove(rested);
            if since.elapsed() < bound && connection.usable() {
                return Some((connection, permit, since.elapsed()));
            }
        }
    }

    /// A connection, new or idle for so long, was lost before any of an answer came, or was not.
    fn note_use(&self, idle: Option<Duration>, lost: bool) {
        let mut bound = self.idle_bound.borrow_mut();
        match idle {
            None => bound.new_used(lost),
            Some(idle) => bound.used(Instant::now(), idle, lost),
        }
    }

    /// Makes a connection, or tells why there is none. A want of room here is no fault of the endpoint's.
    async fn dial(&self, address: SocketAddr) -> Result<(Connection, OwnedSemaphorePermit), Outcome> {
        let permit = self.permits.clone().try_acquire_owned().or_else(|full| {
            self.close_oldest_idle();
            self.permits.clone().try_acquire_owned().map_err(|_| full)
        });
        // Before the dial: one that has no room must not cost the endpoint a handshake.
        let permit = permit.map_err(|_| Outcome::NotSent)?;
        let socket = socket_for(address).map_err(|_| Outcome::NotSent)?;
        match timeout(self.dial_timeout, Connection::over(socket, address)).await {
            Ok(Ok(connection)) => Ok((connection, permit)),
            Ok(Err(e)) if IoFailure::of_connect(&e) == IoFailure::Shortage => Err(Outcome::NotSent),
            _ => Err(Outcome::ConnectFailed),
        }
    }

    fn close_oldest_idle(&self) {
        let endpoints = self.endpoints.borrow();
        let oldest =
            endpoints.iter().filter_map(|e| Some((e.idle.borrow().first()?.since, e))).min_by_key(|o| o.0);
        if let Some((_, endpoint)) = oldest {
            endpoint.idle.borrow_mut().remove(0);
        }
    }

    /// Keeps a connection for the next request, unless either side wants it closed.
    async fn park(
        &self,
        endpoint: &Endpoint,
        permission: SendPermission,
        mut connection: Connection,
        permit: OwnedSemaphorePermit,
    ) {
        connection.turn().await;
        if endpoint.permission() == Some(permission) && connection.usable() {
            endpoint.idle.borrow_mut().push(Idle { connection, permit, since: Instant::now() });
            self.parked.notify_one();
        }
    }

    /// Closes idle connections as their time comes. Runs for good.
    pub async fn retire_idle(self: Rc<Self>) {
        loop {
            let first = |e: &Rc<Endpoint>| e.idle.borrow().first().map(|i| i.since);
            let oldest = self.endpoints.borrow().iter().filter_map(first).min();
            let bound = self.idle_bound.borrow_mut().get(Instant::now());
            match oldest {
                None => self.parked.notified().await,
                Some(since) => sleep_until(since + bound).await,
            }
            for endpoint in self.endpoints.borrow().iter() {
                endpoint.idle.borrow_mut().retain(|i| i.since.elapsed() < bound);
            }
        }
    }
}

/// Reads a load report: `name=value` pairs set apart by commas. What can't be read was not reported.
fn read_load(value: &HeaderValue) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in value.to_str().unwrap_or("").split(',').filter_map(|pair| pair.split_once('=')) {
        let slot = match name.trim() {
            "inflight" => &mut load.active,
            "queue" => &mut load.waiting,
            "util" => &mut load.cpu,
            "latency_ms" => &mut load.avg_ms,
            "qps" => &mut load.rps,
            "eps" => &mut load.err_rps,
            _ => continue,
        };
        *slot = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
    }
    load
}

#[cfg(test)]
mod tests;

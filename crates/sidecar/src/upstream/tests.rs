use super::*;
use crate::body::MAX_BUFFERED_BYTES;
use crate::client_liveness::ClientLiveness;
use crate::engine_input::{Input, InputSender};
use crate::outgoing_request::OutgoingRequest;
use crate::request_lifecycle::RequestLifecycle;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use lotusmoor_balancer::Outcome;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

#[tokio::test]
async fn at_connection_limit_closes_idle_connection_or_does_not_dial() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    let limits = ResourceLimits {
        clients: 1,
        upstream: 1,
        request_bytes: 0,
        response_bytes: MAX_BUFFERED_BYTES,
        request_ids: 0,
    };
    let upstream = Upstream::new(limits, 5_000_000, 10_000_000);
    let connection = upstream.dial(address).await.expect("a permit is free");
    assert_eq!(upstream.dial(address).await.err(), Some(Outcome::NotSent));
    let endpoint = upstream.endpoint(0);
    endpoint.update(Some(address), true, 0);
    let permission = endpoint.permission().expect("the endpoint is ready");
    upstream.return_to_pool(&endpoint, permission, connection).await;
    assert!(upstream.dial(address).await.is_ok());
    assert!(upstream.take_idle(&endpoint).is_none());
    listener.set_nonblocking(true).expect("set non-blocking");
    assert_eq!((0..3).filter(|_| listener.accept().is_ok()).count(), 2);
}

/// A request of the client on that connection, or of none.
fn outgoing(client: Option<ClientLiveness>) -> Rc<OutgoingRequest> {
    Rc::new(OutgoingRequest {
        method: Method::POST,
        uri: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        rest: None,
        lifecycle: RequestLifecycle::new(b"1", client, false),
        _reservation: None,
    })
}

/// A listener whose accept queue is full: connects to it wait until a connection is accepted.
fn listener_with_full_queue() -> (std::net::TcpListener, SocketAddr, std::net::TcpStream) {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("create a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("bind a free port");
    let listener = std::net::TcpListener::from(socket);
    let address = listener.local_addr().expect("local address");
    let filler = std::net::TcpStream::connect(address).expect("the queue has room for one");
    (listener, address, filler)
}

type Change = fn(&Endpoint, &Rc<OutgoingRequest>, &mut Option<std::net::TcpStream>);

/// What changes while a connection is being established, and whether the connection goes to the pool afterwards.
const CHANGES: [(&str, bool, Change); 8] = [
    ("nothing has changed", true, |_, _, _| {}),
    ("the request was answered", true, |_, out, _| out.lifecycle.complete()),
    ("the client disconnected", true, |_, _, client| drop(client.take())),
    ("the idempotency window expired", true, |_, _, _| {}),
    ("the endpoint is draining", false, |e, _, _| e.update(e.address.get(), false, 0)),
    ("the endpoint was cordoned and uncordoned", false, |e, _, _| {
        e.set_cordoned(true);
        e.set_cordoned(false);
    }),
    ("the endpoint changed its address and changed it back", false, |e, _, _| {
        let original = e.address.get();
        e.update(original.map(|a| SocketAddr::new(a.ip(), 9)), true, 0);
        e.update(original, true, 0);
    }),
    ("the endpoint restarted", false, |e, _, _| e.update(e.address.get(), true, 7)),
];

/// An attempt whose connection is not established yet.
struct LateAttempt {
    what: &'static str,
    reusable: bool,
    number: usize,
    listener: std::net::TcpListener,
    endpoint: Rc<Endpoint>,
    upstream: Rc<Upstream>,
    attempting: tokio::task::JoinHandle<()>,
    /// Kept open for the duration of the test.
    _client: (Option<std::net::TcpStream>, Rc<tokio::net::TcpStream>, Rc<OutgoingRequest>),
}

impl LateAttempt {
    /// Begins an attempt, makes the change while its connection is being established, and then lets the connection
    /// succeed.
    async fn begin(
        number: usize,
        (what, reusable, change): (&'static str, bool, Change),
        clients: &tokio::net::TcpListener,
        local: &tokio::task::LocalSet,
        inputs: &InputSender,
    ) -> Self {
        let (listener, address, filler) = listener_with_full_queue();
        let limits = ResourceLimits {
            clients: 1,
            upstream: 1,
            request_bytes: 0,
            response_bytes: MAX_BUFFERED_BYTES,
            request_ids: 0,
        };
        let upstream = Rc::new(Upstream::new(limits, 30_000_000, 0));
        let endpoint = upstream.endpoint(0);
        endpoint.update(Some(address), true, 0);
        let client =
            std::net::TcpStream::connect(clients.local_addr().expect("local address")).expect("connect");
        let (accepted, _) = clients.accept().await.expect("accept a connection");
        let (mut client, accepted) = (Some(client), Rc::new(accepted));
        let out = outgoing(Some(ClientLiveness::of(&accepted)));
        let until = Instant::now() + Duration::from_secs(60);
        // Expires before the connection is established: the kernel retransmits the SYN only after a second.
        let write_by = what.contains("window").then(|| Instant::now() + Duration::from_millis(100));
        let target = AttemptTarget {
            endpoint: Rc::clone(&endpoint),
            permission: endpoint.permission(),
            until,
            write_by,
        };
        let attempting =
            Rc::clone(&upstream).attempt((number as u64, 0), target, Rc::clone(&out), inputs.clone());
        let attempting = local.spawn_local(attempting);
        // The first poll of the attempt starts the dial.
        local.run_until(tokio::task::yield_now()).await;
        assert!(!attempting.is_finished(), "{what}");
        change(&endpoint, &out, &mut client);
        drop(filler);
        let _client = (client, accepted, out);
        Self { what, reusable, number, listener, endpoint, upstream, attempting, _client }
    }

    /// Checks what was written to the connection, and whether it went to the pool.
    async fn check(self, ends: &mut HashMap<u64, Outcome>, ended: &mut mpsc::UnboundedReceiver<Input>) {
        let (what, number) = (self.what, self.number as u64);
        // The first connection is the filler's, the second is the late one.
        self.listener.set_nonblocking(true).expect("set non-blocking");
        let listener = tokio::net::TcpListener::from_std(self.listener).expect("register the listener");
        drop(listener.accept().await.expect("accept a connection"));
        let (mut late, _) = listener.accept().await.expect("accept a connection");
        if number == 0 {
            let mut seen = [0; 4];
            late.read_exact(&mut seen).await.expect("a request arrives");
            assert_eq!(&seen, b"POST", "{what}");
            self.attempting.abort();
            return;
        }
        self.attempting.await.expect("the attempt does not panic");
        // The attempts end in any order.
        while !ends.contains_key(&number) {
            let Some(Input::AttemptEnded(end)) = ended.recv().await else {
                panic!("{what}: the attempt did not end")
            };
            ends.insert(end.request, end.outcome);
        }
        assert_eq!(ends[&number], Outcome::NotSent, "{what}");
        let idle = self.endpoint.idle.borrow().len();
        assert_eq!(idle, usize::from(self.reusable), "{what}");
        self.endpoint.close_idle();
        drop(self.upstream);
        let mut seen = Vec::new();
        late.read_to_end(&mut seen).await.expect("the connection was closed");
        assert!(seen.is_empty(), "{what}: {seen:?}");
    }
}

// A connection may be established seconds after it was dialled. If the request may not be sent any more by then,
// nothing is written, and the connection goes to the pool if it can serve another request.
#[tokio::test]
async fn late_connection_carries_only_sends_that_are_still_permitted() {
    let (inputs, mut ended) = InputSender::new();
    let clients = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let local = tokio::task::LocalSet::new();
    let mut attempts = Vec::new();
    for (number, change) in CHANGES.into_iter().enumerate() {
        attempts.push(LateAttempt::begin(number, change, &clients, &local, &inputs).await);
    }
    let mut ends = HashMap::new();
    let all = async {
        for attempt in attempts {
            attempt.check(&mut ends, &mut ended).await;
        }
    };
    local.run_until(all).await;
}

//! A sidecar that polls its registry (`roster` in the configuration) for the servers of some services only.

use crate::stubs::*;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long after a reload servers of services that are no longer configured may still get requests.
const RELOAD_GRACE: Duration = Duration::from_secs(2);

/// A stub registry replica.
struct Replica {
    endpoint: Endpoint,
    state: Arc<(Mutex<ReplicaState>, Condvar)>,
}

/// The list of a replica, and what it has been polled for.
struct ReplicaState {
    index: u64,
    /// Name, address and service.
    servers: Vec<(String, SocketAddr, Option<String>)>,
    /// Whether the replica can select servers by service; older ones cannot, and return all servers.
    knows_services: bool,
    /// The paths of all polls received.
    polls: Vec<String>,
}

impl Replica {
    /// Lists these servers, by name and service, as version 1.
    fn start(servers: &[(&str, &Endpoint, Option<&str>)], knows_services: bool) -> Self {
        let state =
            ReplicaState { index: 1, servers: owned_servers(servers), knows_services, polls: Vec::new() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared_state = Arc::clone(&state);
        let endpoint = Endpoint::start(move |message| {
            let path = message.start.split(' ').nth(1).expect("a path").to_owned();
            Reply::Response(200, "", Self::response(&shared_state, path).into_bytes())
        });
        Self { endpoint, state }
    }

    /// Waits until there is a newer list or the poll's wait is over; returns the body of the response.
    fn response((state, changed): &(Mutex<ReplicaState>, Condvar), path: String) -> String {
        let parameter = |key: &str| {
            let query = path.strip_prefix("/v1/watch?").expect("a watch");
            query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')).map(str::to_owned)
        };
        let number = |key: &str| parameter(key).map(|n| n.parse::<u64>().expect("a number"));
        let (wait, after, services) =
            (number("wait_ms").expect("a wait"), number("after"), parameter("services"));
        let mut state = state.lock().expect("the lock is not poisoned");
        state.polls.push(path.clone());
        let wait = Duration::from_millis(wait);
        state = changed
            .wait_timeout_while(state, wait, |l| after == Some(l.index))
            .expect("the lock is not poisoned")
            .0;
        let services = services.filter(|_| state.knows_services);
        let services: Option<Vec<&str>> = services.as_ref().map(|names| names.split(',').collect());
        let wanted = |service: &Option<String>| {
            services
                .as_ref()
                .is_none_or(|services| service.as_deref().is_some_and(|name| services.contains(&name)))
        };
        let full = after != Some(state.index);
        let entries = state.servers.iter().filter(|(_, _, service)| full && wanted(service));
        let entries: Vec<_> = entries
            .map(|(name, address, service)| {
                let service = service.as_ref().map_or(String::new(), |s| format!(r#""service":"{s}","#));
                format!(
                    r#"{{"name":"{name}","address":"{address}",{service}"zone":"a","type":"m","group":1}}"#
                )
            })
            .collect();
        let services_field =
            services.map_or(String::new(), |names| format!(r#""services":["{}"],"#, names.join(r#"",""#)));
        let (index, entries) = (state.index, entries.join(","));
        format!(
            r#"{{"epoch":1,"index":{index},"snapshot":{full},"digest":{index},{services_field}"endpoints":[{entries}]}}"#
        )
    }

    /// Replaces the list; returns its new version.
    fn publish(&self, servers: &[(&str, &Endpoint, Option<&str>)]) -> u64 {
        let mut state = self.state.0.lock().expect("the lock is not poisoned");
        state.servers = owned_servers(servers);
        state.index += 1;
        self.state.1.notify_all();
        state.index
    }

    fn polls(&self) -> Vec<String> {
        self.state.0.lock().expect("the lock is not poisoned").polls.clone()
    }

    /// Number of polls for the full list.
    fn full_list_polls(&self) -> usize {
        self.polls().iter().filter(|path| !path.contains("after=")).count()
    }

    /// Waits until a watch for changes after version `index` is open whose path ends with `path_suffix`.
    fn await_watch(&self, index: u64, path_suffix: &str) {
        let expected = format!("&after={index}{path_suffix}");
        wait_until("the next watch is open", || {
            self.polls().last().is_some_and(|path| path.ends_with(&expected))
        });
    }
}

/// The same servers with owned names and the addresses of their endpoints.
fn owned_servers(servers: &[(&str, &Endpoint, Option<&str>)]) -> Vec<(String, SocketAddr, Option<String>)> {
    servers
        .iter()
        .map(|(name, endpoint, service)| (name.to_string(), endpoint.address, service.map(str::to_owned)))
        .collect()
}

/// The part of a configuration that makes a sidecar poll this replica for these services.
fn registry_config(replica: SocketAddr, services: &[&str]) -> String {
    let services =
        if services.is_empty() { String::new() } else { format!(r#""{}""#, services.join(r#"",""#)) };
    format!(r#""roster":{{"addresses":["{replica}"],"services":[{services}]}},"#)
}

fn with_registry(config: &str, registry: &str) -> String {
    config.replacen(r#""settings":"#, &format!(r#"{registry}"settings":"#), 1)
}

/// Starts a sidecar with this registry configuration, and without configured endpoints.
fn sidecar(discovery: &Discovery, registry: &str) -> Sidecar {
    Sidecar::start_with_config(discovery, &[], 1024, |config| with_registry(&config, registry))
}

/// Makes the sidecar reload a configuration with this registry configuration.
fn reload(sidecar: &Sidecar, discovery: &Discovery, registry: &str) {
    sidecar.reload(&with_registry(&config(sidecar.address, discovery.address, "null"), registry));
}

fn ok_endpoint() -> Endpoint {
    Endpoint::start(|_| Reply::Response(200, "", Vec::new()))
}

/// Sends a request; returns the status of its response.
fn exchange(sidecar: &Sidecar) -> u16 {
    sidecar.exchange(&request("look", "", "")).expect("a response").status()
}

/// Waits until the operators' call `list` reports this number of servers, and its line ends with `line_suffix`.
fn await_servers(sidecar: &Sidecar, number: usize, line_suffix: &str) {
    let expected = format!(" servers={number} held=0{line_suffix}");
    wait_until("the servers are listed", || sidecar.call("list").ends_with(&expected));
}

/// Sends requests until each of these servers has received one; all of them must succeed.
fn await_requests_to(sidecar: &Sidecar, servers: &[&Endpoint]) {
    let before: Vec<_> = servers.iter().map(|server| server.requests_handled()).collect();
    wait_until("each server gets a request", || {
        assert_eq!(exchange(sidecar), 200);
        servers.iter().zip(&before).all(|(server, before)| server.requests_handled() > *before)
    });
}

#[test]
fn polls_configured_services_and_uses_their_servers_alone() {
    let (discovery, [ledger, pay, stock, without_service, late]) =
        (Discovery::start(), [(); 5].map(|()| ok_endpoint()));
    let mut servers = vec![
        ("s-1", &ledger, Some("ledger")),
        ("s-2", &pay, Some("pay")),
        ("s-3", &stock, Some("stock")),
        ("s-4", &without_service, None),
    ];
    let replica = Replica::start(&servers, true);
    let sidecar = sidecar(&discovery, &registry_config(replica.endpoint.address, &["pay", "ledger", "pay"]));
    await_servers(&sidecar, 2, " services=2");
    await_requests_to(&sidecar, &[&ledger, &pay]);
    servers.push(("s-5", &late, Some("pay")));
    let index = replica.publish(&servers);
    replica.await_watch(index, "&services=ledger,pay");
    await_servers(&sidecar, 3, " services=2");
    await_requests_to(&sidecar, &[&ledger, &pay, &late]);
    assert_eq!((stock.requests_handled(), without_service.requests_handled()), (0, 0));
    let polls = replica.polls();
    assert_eq!(polls[0], "/v1/watch?wait_ms=0&services=ledger,pay");
    assert!(polls.iter().all(|path| path.ends_with("&services=ledger,pay")), "{polls:?}");
}

#[test]
fn polls_all_servers_without_configured_services() {
    let (discovery, [one, two]) = (Discovery::start(), [(); 2].map(|()| ok_endpoint()));
    let replica = Replica::start(&[("s-1", &one, Some("ledger")), ("s-2", &two, None)], true);
    let empty = registry_config(replica.endpoint.address, &[]);
    for registry in [&empty, &empty.replace(r#","services":[]"#, "")] {
        let polls_before = replica.polls().len();
        let sidecar = sidecar(&discovery, registry);
        await_servers(&sidecar, 2, "");
        await_requests_to(&sidecar, &[&one, &two]);
        replica.await_watch(1, "");
        let polls = &replica.polls()[polls_before..];
        assert_eq!(polls[..2], ["/v1/watch?wait_ms=0", "/v1/watch?wait_ms=4000&epoch=1&after=1"]);
    }
}

#[test]
fn reload_changes_polled_services() {
    let (discovery, [ledger, pay, stock]) = (Discovery::start(), [(); 3].map(|()| ok_endpoint()));
    let servers =
        [("s-1", &ledger, Some("ledger")), ("s-2", &pay, Some("pay")), ("s-3", &stock, Some("stock"))];
    let replica = Replica::start(&servers, true);
    let address = replica.endpoint.address;
    let sidecar = sidecar(&discovery, &registry_config(address, &["ledger", "pay"]));
    await_list_and_requests_to(&sidecar, &replica, 1, "&services=ledger,pay", &[&ledger, &pay]);
    reload(&sidecar, &discovery, &registry_config(address, &["stock", "pay"]));
    let reloaded_at = Instant::now();
    // The servers of the service that stays configured are used throughout.
    while reloaded_at.elapsed() < RELOAD_GRACE {
        assert_eq!(exchange(&sidecar), 200);
        thread::sleep(Duration::from_millis(5));
    }
    let ledger_requests = ledger.requests_handled();
    await_list_and_requests_to(&sidecar, &replica, 1, "&services=pay,stock", &[&pay, &stock]);
    let index = replica.publish(&servers);
    await_list_and_requests_to(&sidecar, &replica, index, "&services=pay,stock", &[&pay, &stock]);
    assert!((0..50).all(|_| exchange(&sidecar) == 200));
    assert_eq!(ledger.requests_handled(), ledger_requests);
    assert_eq!(replica.full_list_polls(), 2, "{:?}", replica.polls());
    reload(&sidecar, &discovery, &registry_config(address, &[]));
    await_list_and_requests_to(&sidecar, &replica, index, "", &[&ledger, &pay, &stock]);
}

/// Waits until a watch for changes after version `index` is open whose path ends with `path_suffix`. Then checks that
/// these servers are all that are listed, and sends requests until each of them has received one.
fn await_list_and_requests_to(
    sidecar: &Sidecar,
    replica: &Replica,
    index: u64,
    path_suffix: &str,
    servers: &[&Endpoint],
) {
    replica.await_watch(index, path_suffix);
    let number = path_suffix.split_once('=').map_or(0, |(_, names)| names.split(',').count());
    let line_suffix = if number == 0 { String::new() } else { format!(" services={number}") };
    await_servers(sidecar, servers.len(), &line_suffix);
    await_requests_to(sidecar, servers);
}

#[test]
fn reload_with_same_services_changes_nothing() {
    let (discovery, [ledger, pay]) = (Discovery::start(), [(); 2].map(|()| ok_endpoint()));
    let servers = [("s-1", &ledger, Some("ledger")), ("s-2", &pay, Some("pay"))];
    let replica = Replica::start(&servers, true);
    let address = replica.endpoint.address;
    let sidecar = sidecar(&discovery, &registry_config(address, &["ledger", "pay"]));
    replica.await_watch(1, "&services=ledger,pay");
    let invalid = registry_config(address, &["pay", "a b"]);
    for registry in [&registry_config(address, &["pay", "ledger", "ledger"]), "", &invalid] {
        reload(&sidecar, &discovery, registry);
        // By the third new version the configuration has been read.
        for _ in 0..3 {
            let index = replica.publish(&servers);
            replica.await_watch(index, "&services=ledger,pay");
        }
        assert_eq!(replica.full_list_polls(), 1, "{registry}: {:?}", replica.polls());
        await_servers(&sidecar, 2, " services=2");
    }
    await_requests_to(&sidecar, &[&ledger, &pay]);
    // After such files, another configuration still takes effect.
    reload(&sidecar, &discovery, &registry_config(address, &["pay"]));
    await_servers(&sidecar, 1, " services=1");
}

#[test]
fn ignores_replica_that_does_not_know_services() {
    let (discovery, [ledger, pay]) = (Discovery::start(), [(); 2].map(|()| ok_endpoint()));
    let servers = [("s-1", &ledger, Some("ledger")), ("s-2", &pay, Some("pay"))];
    let replica = Replica::start(&servers, false);
    let sidecar = sidecar(&discovery, &registry_config(replica.endpoint.address, &["ledger"]));
    wait_until("the sidecar polls repeatedly", || replica.polls().len() > 3);
    let line = sidecar.call("list");
    assert!(line.starts_with("OK version=none ") && line.ends_with(" servers=0 held=0 services=1"), "{line}");
    assert_eq!(exchange(&sidecar), 503);
    assert_eq!((ledger.requests_handled(), pay.requests_handled()), (0, 0));
    replica.state.0.lock().expect("the lock is not poisoned").knows_services = true;
    await_servers(&sidecar, 1, " services=1");
    await_requests_to(&sidecar, &[&ledger]);
    assert_eq!(pay.requests_handled(), 0);
}

#[test]
fn rejects_invalid_service_names_and_accepts_longest() {
    // The listening address is taken: a sidecar that accepts the names by mistake exits, instead of running forever.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken_address = listener.local_addr().expect("an address");
    let names = |number: usize| -> Vec<String> { (0..number).map(|n| format!("a.b_C:-{n:057}")).collect() };
    let longest_list = names(256);
    let (too_long, too_many) = ("x".repeat(65), names(257));
    let too_many: Vec<&str> = too_many.iter().map(String::as_str).collect();
    for invalid in
        [&[""][..], &["a b"], &["a,b"], &["pay", "a/b"], &["a&b"], &["caf\u{e9}"], &[&too_long], &too_many]
    {
        let text = with_registry(
            &config(taken_address, taken_address, "null"),
            &registry_config(taken_address, invalid),
        );
        let path = config_file(&text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
        let output =
            command.env("LB_CONFIG", &path).stdin(Stdio::null()).output().expect("the process starts");
        let stderr = String::from_utf8(output.stderr).expect("UTF-8");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        let key = format!("lotusmoor-sidecar: LB_CONFIG {}: roster: services", path.display());
        assert!(stderr.starts_with(&key) && stderr.lines().count() == 1, "{stderr}");
        let _ = std::fs::remove_file(path);
    }
    let (discovery, server) = (Discovery::start(), ok_endpoint());
    let longest_list: Vec<&str> = longest_list.iter().map(String::as_str).collect();
    let servers: Vec<_> = longest_list.iter().map(|name| (*name, &server, Some(*name))).collect();
    let replica = Replica::start(&servers, true);
    let sidecar = sidecar(&discovery, &registry_config(replica.endpoint.address, &longest_list));
    await_servers(&sidecar, 256, " services=256");
    assert_eq!(replica.polls()[0], format!("/v1/watch?wait_ms=0&services={}", longest_list.join(",")));
    assert_eq!(exchange(&sidecar), 200);
}

// Opening a named pipe blocks until its other end is opened, like opening a file on a disk that hangs.
#[test]
fn hanging_cache_file_delays_neither_start_nor_shutdown() {
    let (discovery, ledger) = (Discovery::start(), ok_endpoint());
    let replica = Replica::start(&[("s-1", &ledger, Some("ledger"))], true);
    let path = config_file("").with_extension("list");
    make_named_pipe(&path);
    let registry =
        format!(r#""roster":{{"addresses":["{}"],"file":"{}"}},"#, replica.endpoint.address, path.display());
    // While the state is locked, the replica sends no list, and the sidecar writes none. The pipe at its temporary file can
    // be made only then, as its name has the ID of the process.
    let state_guard = replica.state.0.lock().expect("the lock is not poisoned");
    let mut sidecar = sidecar(&discovery, &registry);
    make_named_pipe(&path.with_extension(format!("new-{}", sidecar.process.id())));
    drop(state_guard);
    await_servers(&sidecar, 1, "");
    await_requests_to(&sidecar, &[&ledger]);
    // By then the list is being written.
    thread::sleep(Duration::from_secs(2));
    sidecar.signal("-TERM");
    let signalled_at = Instant::now();
    while sidecar.process.try_wait().expect("a child process").is_none() {
        assert!(signalled_at.elapsed() < TEST_TIMEOUT, "the shutdown waits for the disk");
        thread::sleep(Duration::from_millis(5));
    }
}

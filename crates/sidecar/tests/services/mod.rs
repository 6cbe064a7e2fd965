//! A sidecar that asks its roster for the servers of some services.

use crate::stubs::*;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// From a reload on, servers of services that are not asked for any more may get requests for so long.
const SETTLED: Duration = Duration::from_secs(2);

/// A replica of a roster.
struct Replica {
    at: Endpoint,
    state: Arc<(Mutex<Listed>, Condvar)>,
}

/// The list as a replica has it.
struct Listed {
    index: u64,
    /// Name, address and service.
    servers: Vec<(String, SocketAddr, Option<String>)>,
    /// Whether it knows services; one that does not tells of all servers.
    knows_services: bool,
    /// The paths that were asked for.
    calls: Vec<String>,
}

impl Replica {
    /// Lists these servers, by name and service, as version 1.
    fn start(servers: &[(&str, &Endpoint, Option<&str>)], knows_services: bool) -> Self {
        let listed = Listed { index: 1, servers: written(servers), knows_services, calls: Vec::new() };
        let state = Arc::new((Mutex::new(listed), Condvar::new()));
        let submitted = Arc::clone(&state);
        let at = Endpoint::start(move |message| {
            let path = message.start.split(' ').nth(1).expect("a path").to_owned();
            Reply::Answer(200, "", Self::answer(&submitted, path).into_bytes())
        });
        Self { at, state }
    }

    /// The answer to a call, once there is news or the wait is over.
    fn answer((listed, news): &(Mutex<Listed>, Condvar), path: String) -> String {
        let part = |key: &str| {
            let query = path.strip_prefix("/v1/watch?").expect("a watch");
            query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')).map(str::to_owned)
        };
        let number = |key: &str| part(key).map(|n| n.parse::<u64>().expect("a number"));
        let (wait, after, submitted) =
            (number("wait_ms").expect("a wait"), number("after"), part("services"));
        let mut listed = listed.lock().expect("no stub panics");
        listed.calls.push(path.clone());
        let wait = Duration::from_millis(wait);
        listed = news.wait_timeout_while(listed, wait, |l| after == Some(l.index)).expect("no stub panics").0;
        let submitted = submitted.filter(|_| listed.knows_services);
        let submitted: Option<Vec<&str>> = submitted.as_ref().map(|names| names.split(',').collect());
        let wanted = |service: &Option<String>| {
            submitted
                .as_ref()
                .is_none_or(|submitted| service.as_deref().is_some_and(|name| submitted.contains(&name)))
        };
        let full = after != Some(listed.index);
        let entries = listed.servers.iter().filter(|(_, _, service)| full && wanted(service));
        let entries: Vec<_> = entries
            .map(|(name, address, service)| {
                let service = service.as_ref().map_or(String::new(), |s| format!(r#""service":"{s}","#));
                format!(
                    r#"{{"name":"{name}","address":"{address}",{service}"zone":"a","type":"m","group":1}}"#
                )
            })
            .collect();
        let echo =
            submitted.map_or(String::new(), |names| format!(r#""services":["{}"],"#, names.join(r#"",""#)));
        let (index, entries) = (listed.index, entries.join(","));
        format!(
            r#"{{"epoch":1,"index":{index},"snapshot":{full},"digest":{index},{echo}"endpoints":[{entries}]}}"#
        )
    }

    /// Changes the list, which goes to its next version.
    fn publish(&self, servers: &[(&str, &Endpoint, Option<&str>)]) -> u64 {
        let mut listed = self.state.0.lock().expect("no stub panics");
        listed.servers = written(servers);
        listed.index += 1;
        self.state.1.notify_all();
        listed.index
    }

    fn calls(&self) -> Vec<String> {
        self.state.0.lock().expect("no stub panics").calls.clone()
    }

    /// Calls for the whole list.
    fn full_list_polls(&self) -> usize {
        self.calls().iter().filter(|path| !path.contains("after=")).count()
    }

    /// Waits until a watch for what comes after that version is open, with that end of its path.
    fn await_watch(&self, index: u64, end: &str) {
        let wanted = format!("&after={index}{end}");
        wait_until("the watch goes on", || self.calls().last().is_some_and(|path| path.ends_with(&wanted)));
    }
}

fn written(servers: &[(&str, &Endpoint, Option<&str>)]) -> Vec<(String, SocketAddr, Option<String>)> {
    servers
        .iter()
        .map(|(name, at, service)| (name.to_string(), at.address, service.map(str::to_owned)))
        .collect()
}

/// What stands in a configuration that asks that replica for these services.
fn roster(replica: SocketAddr, services: &[&str]) -> String {
    let services =
        if services.is_empty() { String::new() } else { format!(r#""{}""#, services.join(r#"",""#)) };
    format!(r#""roster":{{"addresses":["{replica}"],"services":[{services}]}},"#)
}

fn with_roster(config: &str, roster: &str) -> String {
    config.replacen(r#""settings":"#, &format!(r#"{roster}"settings":"#), 1)
}

/// A sidecar with that part of its configuration, that knows no server of its own.
fn sidecar(discovery: &Discovery, roster: &str) -> Sidecar {
    Sidecar::start_as(discovery, &[], 1024, |config| with_roster(&config, roster))
}

/// Has it read a configuration with that part.
fn reload(sidecar: &Sidecar, discovery: &Discovery, roster: &str) {
    sidecar.reload(&with_roster(&config(sidecar.address, discovery.address, "null"), roster));
}

fn served() -> Endpoint {
    Endpoint::start(|_| Reply::Answer(200, "", Vec::new()))
}

/// A request's status.
fn exchange(sidecar: &Sidecar) -> u16 {
    sidecar.exchange(&request("look", "", "")).expect("an answer").status()
}

/// Waits until so many servers are listed, with that end of the line.
fn await_servers(sidecar: &Sidecar, number: usize, end: &str) {
    let wanted = format!(" servers={number} held=0{end}");
    wait_until("the servers are listed", || sidecar.call("list").ends_with(&wanted));
}

/// Asks until each of these servers has got a request; every one is answered well.
fn await_use(sidecar: &Sidecar, servers: &[&Endpoint]) {
    let before: Vec<_> = servers.iter().map(|server| server.requests()).collect();
    wait_until("each is used", || {
        assert_eq!(exchange(sidecar), 200);
        servers.iter().zip(&before).all(|(server, before)| server.requests() > *before)
    });
}

#[test]
fn polls_configured_services_and_uses_their_servers_alone() {
    let (discovery, [ledger, pay, stock, none, late]) = (Discovery::start(), [(); 5].map(|()| served()));
    let mut servers = vec![
        ("s-1", &ledger, Some("ledger")),
        ("s-2", &pay, Some("pay")),
        ("s-3", &stock, Some("stock")),
        ("s-4", &none, None),
    ];
    let replica = Replica::start(&servers, true);
    let sidecar = sidecar(&discovery, &roster(replica.at.address, &["pay", "ledger", "pay"]));
    await_servers(&sidecar, 2, " services=2");
    await_use(&sidecar, &[&ledger, &pay]);
    servers.push(("s-5", &late, Some("pay")));
    let index = replica.publish(&servers);
    replica.await_watch(index, "&services=ledger,pay");
    await_servers(&sidecar, 3, " services=2");
    await_use(&sidecar, &[&ledger, &pay, &late]);
    assert_eq!((stock.requests(), none.requests()), (0, 0));
    let calls = replica.calls();
    assert_eq!(calls[0], "/v1/watch?wait_ms=0&services=ledger,pay");
    assert!(calls.iter().all(|path| path.ends_with("&services=ledger,pay")), "{calls:?}");
}

#[test]
fn polls_all_servers_without_configured_services() {
    let (discovery, [one, two]) = (Discovery::start(), [(); 2].map(|()| served()));
    let replica = Replica::start(&[("s-1", &one, Some("ledger")), ("s-2", &two, None)], true);
    let empty = roster(replica.at.address, &[]);
    for part in [&empty, &empty.replace(r#","services":[]"#, "")] {
        let submitted = replica.calls().len();
        let sidecar = sidecar(&discovery, part);
        await_servers(&sidecar, 2, "");
        await_use(&sidecar, &[&one, &two]);
        replica.await_watch(1, "");
        let calls = &replica.calls()[submitted..];
        assert_eq!(calls[..2], ["/v1/watch?wait_ms=0", "/v1/watch?wait_ms=4000&epoch=1&after=1"]);
    }
}

#[test]
fn reload_changes_polled_services() {
    let (discovery, [ledger, pay, stock]) = (Discovery::start(), [(); 3].map(|()| served()));
    let servers =
        [("s-1", &ledger, Some("ledger")), ("s-2", &pay, Some("pay")), ("s-3", &stock, Some("stock"))];
    let replica = Replica::start(&servers, true);
    let at = replica.at.address;
    let sidecar = sidecar(&discovery, &roster(at, &["ledger", "pay"]));
    await_use_of_list(&sidecar, &replica, 1, "&services=ledger,pay", &[&ledger, &pay]);
    reload(&sidecar, &discovery, &roster(at, &["stock", "pay"]));
    let reloaded = Instant::now();
    // What stays is in use throughout.
    while reloaded.elapsed() < SETTLED {
        assert_eq!(exchange(&sidecar), 200);
        thread::sleep(Duration::from_millis(5));
    }
    let before = ledger.requests();
    await_use_of_list(&sidecar, &replica, 1, "&services=pay,stock", &[&pay, &stock]);
    let index = replica.publish(&servers);
    await_use_of_list(&sidecar, &replica, index, "&services=pay,stock", &[&pay, &stock]);
    assert!((0..50).all(|_| exchange(&sidecar) == 200));
    assert_eq!(ledger.requests(), before);
    assert_eq!(replica.full_list_polls(), 2, "{:?}", replica.calls());
    reload(&sidecar, &discovery, &roster(at, &[]));
    await_use_of_list(&sidecar, &replica, index, "", &[&ledger, &pay, &stock]);
}

/// Waits for the watch after that version with that end of its path, and asks until each of these servers, which are all
/// that are listed, has got a request.
fn await_use_of_list(sidecar: &Sidecar, replica: &Replica, index: u64, end: &str, servers: &[&Endpoint]) {
    replica.await_watch(index, end);
    let number = end.split_once('=').map_or(0, |(_, names)| names.split(',').count());
    let reported = if number == 0 { String::new() } else { format!(" services={number}") };
    await_servers(sidecar, servers.len(), &reported);
    await_use(sidecar, servers);
}

#[test]
fn reload_with_same_services_changes_nothing() {
    let (discovery, [ledger, pay]) = (Discovery::start(), [(); 2].map(|()| served()));
    let servers = [("s-1", &ledger, Some("ledger")), ("s-2", &pay, Some("pay"))];
    let replica = Replica::start(&servers, true);
    let at = replica.at.address;
    let sidecar = sidecar(&discovery, &roster(at, &["ledger", "pay"]));
    replica.await_watch(1, "&services=ledger,pay");
    let bad = roster(at, &["pay", "a b"]);
    for part in [&roster(at, &["pay", "ledger", "ledger"]), "", &bad] {
        reload(&sidecar, &discovery, part);
        // Three rounds later it has been read.
        for _ in 0..3 {
            let index = replica.publish(&servers);
            replica.await_watch(index, "&services=ledger,pay");
        }
        assert_eq!(replica.full_list_polls(), 1, "{part}: {:?}", replica.calls());
        await_servers(&sidecar, 2, " services=2");
    }
    await_use(&sidecar, &[&ledger, &pay]);
    // Such a file is read all the same.
    reload(&sidecar, &discovery, &roster(at, &["pay"]));
    await_servers(&sidecar, 1, " services=1");
}

#[test]
fn ignores_replica_that_does_not_know_services() {
    let (discovery, [ledger, pay]) = (Discovery::start(), [(); 2].map(|()| served()));
    let servers = [("s-1", &ledger, Some("ledger")), ("s-2", &pay, Some("pay"))];
    let replica = Replica::start(&servers, false);
    let sidecar = sidecar(&discovery, &roster(replica.at.address, &["ledger"]));
    wait_until("it asks again and again", || replica.calls().len() > 3);
    let line = sidecar.call("list");
    assert!(line.starts_with("OK version=none ") && line.ends_with(" servers=0 held=0 services=1"), "{line}");
    assert_eq!(exchange(&sidecar), 503);
    assert_eq!((ledger.requests(), pay.requests()), (0, 0));
    replica.state.0.lock().expect("no stub panics").knows_services = true;
    await_servers(&sidecar, 1, " services=1");
    await_use(&sidecar, &[&ledger]);
    assert_eq!(pay.requests(), 0);
}

#[test]
fn rejects_invalid_service_names_and_accepts_longest() {
    // One that refused no name would end at this address, which is taken, rather than run for good.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = listener.local_addr().expect("an address");
    let names = |number: usize| -> Vec<String> { (0..number).map(|n| format!("a.b_C:-{n:057}")).collect() };
    let most = names(256);
    let (long, many) = ("x".repeat(65), names(257));
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    for bad in [&[""][..], &["a b"], &["a,b"], &["pay", "a/b"], &["a&b"], &["caf\u{e9}"], &[&long], &many] {
        let text = with_roster(&config(taken, taken, "null"), &roster(taken, bad));
        let path = config_file(&text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_lotusmoor-sidecar"));
        let output = command.env("LB_CONFIG", &path).stdin(Stdio::null()).output().expect("it starts");
        let stderr = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        let key = format!("lotusmoor-sidecar: LB_CONFIG {}: roster: services", path.display());
        assert!(stderr.starts_with(&key) && stderr.lines().count() == 1, "{stderr}");
        let _ = std::fs::remove_file(path);
    }
    let (discovery, server) = (Discovery::start(), served());
    let most: Vec<&str> = most.iter().map(String::as_str).collect();
    let servers: Vec<_> = most.iter().map(|name| (*name, &server, Some(*name))).collect();
    let replica = Replica::start(&servers, true);
    let sidecar = sidecar(&discovery, &roster(replica.at.address, &most));
    await_servers(&sidecar, 256, " services=256");
    assert_eq!(replica.calls()[0], format!("/v1/watch?wait_ms=0&services={}", most.join(",")));
    assert_eq!(exchange(&sidecar), 200);
}

// The open of a pipe lasts until somebody reads from it or writes to it, as on a disk that hangs.
#[test]
fn hanging_cache_file_delays_neither_start_nor_stop() {
    let (discovery, ledger) = (Discovery::start(), served());
    let replica = Replica::start(&[("s-1", &ledger, Some("ledger"))], true);
    let path = config_file("").with_extension("list");
    make_named_pipe(&path);
    let file = format!(r#""roster":{{"addresses":["{}"],"file":"{}"}},"#, replica.at.address, path.display());
    // No list comes, so none is written, until the process is known.
    let listed = replica.state.0.lock().expect("no stub panics");
    let mut sidecar = sidecar(&discovery, &file);
    make_named_pipe(&path.with_extension(format!("new-{}", sidecar.process.id())));
    drop(listed);
    await_servers(&sidecar, 1, "");
    await_use(&sidecar, &[&ledger]);
    // By then the list is being written.
    thread::sleep(Duration::from_secs(2));
    sidecar.signal("-TERM");
    let stopped = Instant::now();
    while sidecar.process.try_wait().expect("it is a child").is_none() {
        assert!(stopped.elapsed() < LONG, "it waits for its disk");
        thread::sleep(Duration::from_millis(5));
    }
}

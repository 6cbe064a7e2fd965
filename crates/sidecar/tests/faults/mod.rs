//! System calls of the sidecar that fail in ways that Linux documents, and a wall clock that is stepped: requests are still
//! answered, and operators' calls (management commands) that were answered with `OK` stay in effect.

mod clocks;
mod deadlines;
mod files;
mod log;

use crate::stubs::*;
use lotusmoor_faults::{Call, Rule, Span, errno};
use std::io::Write;
use std::thread;
use std::time::Duration;

fn reply_ok(_: &Message) -> Reply {
    Reply::Response(200, "", b"served".to_vec())
}

/// Opens connections and sends a complete request on each.
fn connect_with_requests(sidecar: &Sidecar, count: usize) -> Vec<std::net::TcpStream> {
    let mut clients = Vec::new();
    for _ in 0..count {
        let mut client = sidecar.connect();
        client.write_all(request("book", "", "").as_bytes()).expect("the write succeeds");
        clients.push(client);
    }
    clients
}

#[test]
fn accept_errors_at_shutdown_lose_no_queued_connection() {
    for errno in [errno::ECONNABORTED, errno::ENOBUFS, errno::EMFILE, errno::EINTR] {
        let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
        let faults = fault_table();
        let sidecar = Sidecar::start_with_faults(&discovery, &[("s-1", &endpoint)], &faults, |c| c);
        sidecar.signal("-TERM");
        thread::sleep(Duration::from_millis(250));
        // The process is stopped until after the time at which it ends accepting, and then meets queued connections and
        // accept errors together.
        sidecar.signal("-STOP");
        let clients = connect_with_requests(&sidecar, 5);
        thread::sleep(Duration::from_millis(350));
        let three_failures = Rule { span: Span::Calls(3), ..Rule::once(Call::Accept, errno) };
        faults.arm(three_failures).expect("a rule");
        sidecar.signal("-CONT");
        for mut client in clients {
            let status = read_message(&mut client).map(|m| m.status());
            assert_eq!(status, Some(200), "errno {errno}");
        }
    }
}

#[test]
fn interrupted_socket_calls_do_not_fail_requests() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(reply_ok));
    for calls in [vec![Call::Receive, Call::Send, Call::Peek], vec![Call::Peek]] {
        let faults = fault_table();
        let sidecar = Sidecar::start_with_faults(&discovery, &[("s-1", &endpoint)], &faults, |c| c);
        for call in &calls {
            faults.arm(Rule::one_in(5, *call, errno::EINTR)).expect("a rule");
        }
        for number in 0..240 {
            let class = ["look", "pay", "book"][number % 3];
            let status = sidecar.exchange(&request(class, "", "")).map(|m| m.status());
            assert_eq!(status, Some(200), "request {number} of class {class}, {calls:?}");
        }
    }
}

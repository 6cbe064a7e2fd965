//! System calls of the sidecar that fail as Linux documents, and a clock that steps: the rules hold all the same.

mod clocks;
mod deadlines;
mod files;
mod log;

use crate::stubs::*;
use lotusmoor_faults::{Call, Rule, Span, errno};
use std::io::Write;
use std::thread;
use std::time::Duration;

fn served(_: &Message) -> Reply {
    Reply::Answer(200, "", b"served".to_vec())
}

/// Connections with a whole request in each.
fn connect_with_requests(sidecar: &Sidecar, count: usize) -> Vec<std::net::TcpStream> {
    let mut clients = Vec::new();
    for _ in 0..count {
        let mut client = sidecar.connect();
        client.write_all(request("book", "", "").as_bytes()).expect("the system takes it");
        clients.push(client);
    }
    clients
}

#[test]
fn accept_errors_at_shutdown_lose_no_queued_connection() {
    for errno in [errno::ECONNABORTED, errno::ENOBUFS, errno::EMFILE, errno::EINTR] {
        let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
        let faults = fault_table();
        let sidecar = Sidecar::start_with_faults(&discovery, &[("s-1", &endpoint)], &faults, |c| c);
        sidecar.signal("-TERM");
        thread::sleep(Duration::from_millis(250));
        // Held over the end of accepting, it finds connections and errors together.
        sidecar.signal("-STOP");
        let clients = connect_with_requests(&sidecar, 5);
        thread::sleep(Duration::from_millis(350));
        let few = Rule { span: Span::Calls(3), ..Rule::once(Call::Accept, errno) };
        faults.arm(few).expect("a rule");
        sidecar.signal("-CONT");
        for mut client in clients {
            let answer = read_message(&mut client).map(|m| m.status());
            assert_eq!(answer, Some(200), "errno {errno}");
        }
    }
}

#[test]
fn interrupted_socket_calls_cost_no_answer() {
    let (discovery, endpoint) = (Discovery::start(), Endpoint::start(served));
    for calls in [vec![Call::Receive, Call::Send, Call::Peek], vec![Call::Peek]] {
        let faults = fault_table();
        let sidecar = Sidecar::start_with_faults(&discovery, &[("s-1", &endpoint)], &faults, |c| c);
        for call in &calls {
            faults.arm(Rule::one_in(5, *call, errno::EINTR)).expect("a rule");
        }
        for turn in 0..240 {
            let class = ["look", "pay", "book"][turn % 3];
            let answer = sidecar.exchange(&request(class, "", "")).map(|m| m.status());
            assert_eq!(answer, Some(200), "request {turn} of class {class}, {calls:?}");
        }
    }
}

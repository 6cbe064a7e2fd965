//! The encoding of every action and the decoding of every event.

use crate::decode::{self, EndpointLists, Entry};
use crate::encode;
use crate::line::Line;
use crate::names::Names;
use lotusmoor_balancer::{Action, EndpointListUpdate, EndpointStatus, Event, LoadReport, Outcome};
use std::collections::HashMap;

const SETTINGS: &str = r#"{"Lanes": [{"AimUs": 1000000, "DeadlineUs": 4000000, "Effect": "pure", "Name": "look"},
{"AimUs": 800000, "DeadlineUs": 1500000, "Effect": "side_effect", "Name": "book"}],
"Limits": {"MaxAttempts": 3},
"Rules": {"ColdShare": 0.3, "OverloadFactor": 3.0, "TipAfterUs": 1500000, "WarmWithinUs": 8900000},
"Tenants": [{"Name": "one"}, {"Name": "two"}], "Zones": ["a", "b"]}"#;

const LIST_ID: u64 = 6;

/// The names of an instance that knows the endpoints `10.0.0.1:80` (0) and `10.0.0.2:80` (1), and the lists that it has
/// received.
fn names_and_lists() -> (Names, EndpointLists) {
    let start = format!("start I=3 RandomSeed=-9 Conf={}", SETTINGS.replace('\n', " "));
    let (_, mut names) = decode::start(&Line::new(&start)).expect("a valid start");
    let entries = [
        "m Endpoint=10.0.0.1:80 Campus=b Model=x Group=4 Status=1 Size=1.5 ReadyAtUs=6100000",
        "m Endpoint=10.0.0.2:80 Status=2 ReadyAtUs=0",
        "m Endpoint=10.0.0.3:80 Campus=new Model=y Status=0",
    ];
    let entries = entries.map(|line| Entry::decode(&Line::new(line)).expect("an entry"));
    let lists = HashMap::from([(LIST_ID, Vec::from(entries))]);
    event(&mut names, &lists, "endpoints I=3 Epoch=1 Kind=3 RosterId=6");
    (names, lists)
}

fn event(names: &mut Names, lists: &EndpointLists, line: &str) -> Event {
    decode::event(&Line::new(line), names, lists).expect("a valid line").expect("an event for the instance")
}

fn read(line: &str) -> Event {
    let (mut names, lists) = names_and_lists();
    event(&mut names, &lists, line)
}

#[test]
fn every_action_is_encoded() {
    let (names, _) = names_and_lists();
    let log = Action::Log("circuit of endpoint 0 open\r\nfor good".to_owned());
    for (action, line) in [
        (
            Action::Send {
                request: 593_372_770_898_372,
                endpoint: 1,
                timeout: 250_000,
                idempotency_window: Some(7),
            },
            "hand_off I=3 Ticket=593372770898372 Endpoint=10.0.0.2:80 TimeoutUs=250000",
        ),
        (Action::Reject { request: 5, retry_after: 40_000 }, "not_now I=3 Ticket=5 HoldOffUs=40000"),
        (Action::Fail(6), "error I=3 Ticket=6"),
        (Action::Cancel { request: 7, attempt: 2 }, "recall I=3 Ticket=7 Go=2"),
        (Action::HealthCheck(0), "health_check I=3 Endpoint=10.0.0.1:80"),
        (Action::SetTimer { after: 5_000, token: 77 }, "defer I=3 FromNowUs=5000 Ctx=77"),
        (Action::Subscribe(true), "tail I=3 Active=1"),
        (Action::Subscribe(false), "tail I=3 Active=0"),
        (Action::FetchEndpointList, "read_list I=3"),
        (Action::CloseIdleConnections(0), "free_links I=3 Endpoint=10.0.0.1:80"),
        (Action::SendPeerMessage { to: Some(1), bytes: b"hi 7".to_vec() }, "post I=3 Dst=1 Bytes=aGkgNw=="),
        (Action::SendPeerMessage { to: None, bytes: Vec::new() }, "post I=3 Dst=-1 Bytes=-"),
        (log, "say_log I=3 Text=circuit of endpoint 0 open  for good"),
    ] {
        let mut written = String::new();
        encode::action(3, &action, &names.endpoints, &mut written).expect("writing to a string cannot fail");
        assert_eq!(written, format!("{line}\n"));
    }
}

#[test]
fn every_field_of_a_request_is_read() {
    let line =
        "demand I=3 Ticket=9 Profile=book Project=two PartitionKey=4 DueUs=9900000 WorkHintUs=1200 Flags=3";
    let Event::RequestReceived(new) = read(line) else { panic!("a request") };
    assert_eq!((new.id, new.class, new.tenant, new.partition_key), (9, 1, Some(1), Some(4)));
    assert_eq!(
        (new.deadline, new.expected_work, new.is_client_retry, new.body_incomplete),
        (9_900_000, Some(1_200), true, false)
    );
    let Event::RequestReceived(new) = read(&line.replace("Flags=3", "Flags=0")) else { panic!("a request") };
    assert_eq!(
        (new.expected_work, new.is_client_retry),
        (None, false),
        "the work hint counts only if its flag is set"
    );
    let Event::RequestReceived(new) = read("demand I=3 Ticket=9 Profile=look Project=strange DueUs=1") else {
        panic!("a request")
    };
    assert_eq!(
        (new.class, new.tenant, new.partition_key, new.expected_work, new.is_client_retry),
        (0, None, None, None, false)
    );
}

#[test]
fn every_field_of_an_attempt_end_is_read() {
    let load = "active:3,waiting:2,cpu:0.5,avg_ms:7.25,rps:11,err_rps:0.125,odd:1";
    let Event::AttemptEnded(end) = read(&format!(
        "returned I=3 Ticket=9 Disposition=OK Endpoint=10.0.0.2:80 TookUs=18500 Go=1 Settled=1 Load={load}"
    )) else {
        panic!("an end")
    };
    assert_eq!((end.request, end.attempt, end.endpoint, end.outcome), (9, 1, 1, Outcome::Ok));
    assert_eq!((end.duration, end.request_completed, end.body_consumed), (18_500, true, false));
    let reported = LoadReport {
        active: Some(3.0),
        waiting: Some(2.0),
        cpu: Some(0.5),
        avg_ms: Some(7.25),
        rps: Some(11.0),
        err_rps: Some(0.125),
    };
    assert_eq!(end.load_report, reported);
    for (disposition, outcome) in [
        ("OK", Outcome::Ok),
        ("INTERNAL", Outcome::Error),
        ("RESOURCE_EXHAUSTED", Outcome::Rejected),
        ("DEADLINE_EXCEEDED", Outcome::TimedOut),
        ("UNAVAILABLE", Outcome::ConnectFailed),
        ("ABORTED", Outcome::Reset),
        ("CANCELLED", Outcome::Cancelled),
        ("TOO_LATE", Outcome::NotSent),
    ] {
        let line =
            format!("returned I=3 Ticket=9 Disposition={disposition} Endpoint=10.0.0.1:80 TookUs=1 Go=0");
        let Event::AttemptEnded(end) = read(&line) else { panic!("an end") };
        assert_eq!((end.outcome, end.endpoint, end.request_completed), (outcome, 0, false), "{disposition}");
        assert_eq!(end.load_report, LoadReport::default());
    }
}

#[test]
fn every_field_of_the_other_events_is_read() {
    let Event::StreamStarted { request, attempt } =
        read("under_way I=3 Ticket=9 Go=2 Endpoint=10.0.0.1:80 TookUs=5")
    else {
        panic!("a stream")
    };
    assert_eq!((request, attempt), (9, 2));
    let Event::HealthCheckEnded { endpoint, outcome, duration, load_report } =
        read("health_result I=3 Endpoint=10.0.0.2:80 Disposition=ABORTED TookUs=4 Load=cpu:0.5")
    else {
        panic!("a health check")
    };
    assert_eq!((endpoint, outcome, duration), (1, Outcome::Reset, 4));
    assert_eq!(load_report, LoadReport { cpu: Some(0.5), ..LoadReport::default() });
    assert!(matches!(read("withdrawn I=3 Ticket=9"), Event::RequestAbandoned(9)));
    assert!(matches!(read("alarm I=3 Ctx=77"), Event::Timer(77)));
    let Event::PeerMessage { from, bytes } = read("peer_data I=3 By=1 Bytes=aGkgNw==") else {
        panic!("a message")
    };
    assert_eq!((from, bytes.as_slice()), (1, &b"hi 7"[..]));
    let Event::PeerMessage { bytes, .. } = read("peer_data I=3 By=1 Bytes=-") else { panic!("a message") };
    assert!(bytes.is_empty());
}

#[test]
fn every_field_of_an_endpoint_list_is_read() {
    for (kind, name) in [(1, "changes"), (2, "cached list"), (3, "complete list")] {
        let Event::EndpointList(update) = read(&format!("endpoints I=3 Epoch=1 Kind={kind} RosterId=6"))
        else {
            panic!("a list")
        };
        let list = match (kind, update) {
            (1, EndpointListUpdate::Delta(list))
            | (2, EndpointListUpdate::Cached(list))
            | (3, EndpointListUpdate::Full(list)) => list,
            other => panic!("{name}: {other:?}"),
        };
        let [full, minimal, removed] = &list[..] else { panic!("three entries") };
        assert_eq!((full.endpoint, full.zone, full.cell, full.machine_type), (0, Some(1), 4, Some(0)));
        assert_eq!((full.status, full.size, full.started_at), (EndpointStatus::Ready, 1.5, Some(6_100_000)));
        assert_eq!((minimal.endpoint, minimal.zone, minimal.cell, minimal.machine_type), (1, None, 0, None));
        assert_eq!((minimal.status, minimal.size, minimal.started_at), (EndpointStatus::Draining, 1.0, None));
        assert_eq!(
            (removed.zone, removed.machine_type, removed.status),
            (Some(2), Some(1), EndpointStatus::Removed)
        );
    }
    let failed = read("endpoints I=3 Epoch=1 Kind=0 RosterId=0");
    assert!(matches!(failed, Event::EndpointList(EndpointListUpdate::Failed)));
}

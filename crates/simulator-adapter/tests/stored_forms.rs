//! Golden tests of what is exchanged with the balancer: its settings object, and a transcript of the simulator's
//! protocol that an earlier version (commit 3f326ce) wrote. Names in the code may change; what is read and written may
//! not.

use lotusmoor_balancer::settings::{DecodedSettings, decode};
use lotusmoor_balancer::*;
use lotusmoor_simulator_adapter::serve;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};

const CONFIGURATION: &str = include_str!("../../sidecar/tests/fixtures/sidecar-config.json");
const WIRE_INPUT: &str = include_str!("fixtures/adapter-input.txt");
const WIRE_OUTPUT: &str = include_str!("fixtures/adapter-output.txt");

/// The settings object of the configuration, with every key that is read.
fn all_keys() -> String {
    let parts: BTreeMap<String, Box<RawValue>> = serde_json::from_str(CONFIGURATION).expect("an object");
    parts["settings"].get().to_owned()
}

fn read(text: &str) -> DecodedSettings {
    decode(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

/// The settings object with one part replaced.
fn read_with(original: &str, replacement: &str) -> Settings {
    let text = all_keys();
    assert!(text.contains(original), "{original}");
    read(&text.replace(original, replacement)).settings
}

#[test]
fn every_key_of_the_settings_is_read() {
    let DecodedSettings { settings, classes, tenants, zones, idle_timeout } = read(&all_keys());
    assert_eq!(classes, ["look", "book", "pay", "move", "mark"]);
    assert_eq!(tenants, ["acme", "other"]);
    assert_eq!(["a", "b", "c"].map(|zone| zones.find(zone)), [Some(0), Some(1), Some(2)]);
    assert_eq!(idle_timeout, 7_000_000);
    assert_eq!((settings.instances, settings.index, settings.zone), (3, 2, Some(1)));
    assert_eq!(settings.discovery, DiscoveryMode::Polled);
    assert_eq!(settings.weights, WeightSource::Nominal);
    assert_eq!(settings.load_reports, LoadReportSource::Piggybacked);
    assert_eq!((settings.over_quota_weight, settings.priority_by_work), (0.35, true));
    assert_eq!((settings.clients_mark_retries, settings.tick), (true, 5_000));
    assert!(settings.check().is_ok());
}

#[test]
fn every_key_of_a_class_is_read() {
    let settings = read(&all_keys()).settings;
    let [look, book, pay, moved, mark] = &settings.classes[..] else { panic!("five classes") };
    assert_eq!((look.latency_objective, look.objective_per_work, look.deadline), (800_000, 1.5, 2_000_000));
    assert_eq!((look.late_value_share, look.priority_weight, look.streaming), (0.25, 5.0, true));
    assert_eq!((book.latency_objective, book.objective_per_work, book.deadline), (810_000, 0.0, 2_010_000));
    assert_eq!((book.late_value_share, book.priority_weight, book.streaming), (0.0, 1.0, false));
    assert_eq!((look.idempotency, book.idempotency), (Idempotency::Idempotent, Idempotency::NonIdempotent));
    assert_eq!(pay.idempotency, Idempotency::WithKey { scope: DedupScope::Zone, ttl: 900_000 });
    assert_eq!(moved.idempotency, Idempotency::WithKey { scope: DedupScope::Cell, ttl: 910_000 });
    assert_eq!(mark.idempotency, Idempotency::WithKey { scope: DedupScope::All, ttl: 920_000 });
}

#[test]
fn every_key_of_the_other_parts_is_read() {
    let Settings { limits, rules, prices, goal, tenants, .. } = read(&all_keys()).settings;
    assert_eq!(
        (limits.max_attempts, limits.max_retry_after, limits.connect_timeout),
        (4, 1_500_000, 300_000)
    );
    assert_eq!((rules.answer_grace, rules.max_poll_interval), (50_000, 3_000_000));
    assert_eq!((rules.initial_capacity_share, rules.overload_factor), (0.3, 2.5));
    assert_eq!((rules.overload_collapse_after, rules.slow_start_duration), (1_400_000, 8_900_000));
    assert_eq!((prices.cross_zone, prices.handshake, prices.late_or_failed), (0.01, 0.02, 0.03));
    assert_eq!((prices.health_check, prices.waste), (0.04, 0.05));
    assert_eq!((goal.overall, goal.worst_class), (0.4, 0.3));
    assert_eq!((goal.worst_tenant, goal.worst_window), (0.2, 0.1));
    assert_eq!((tenants[0].quota_per_s, tenants[0].capacity_share), (98.5, 0.75));
    assert_eq!((tenants[1].quota_per_s, tenants[1].capacity_share), (0.0, 0.0));
}

// Keys are switched off one by one: with all of them on, a key that is read for another would not be noticed.
#[test]
fn every_permission_is_read_from_its_own_key() {
    let flags = |limits: &Limits| {
        [
            limits.may_cancel,
            limits.may_hedge,
            limits.may_gossip,
            limits.may_health_check,
            limits.sends_retry_after,
        ]
    };
    let all = read(&all_keys()).settings.limits;
    assert_eq!(flags(&all), [true; 5]);
    for (number, key) in ["MayCancel", "MayDuplicate", "Peers", "Probes", "RetryAfter"].iter().enumerate() {
        let without = read_with(&format!(r#""{key}": true"#), &format!(r#""{key}": false"#)).limits;
        let mut expected = [true; 5];
        expected[number] = false;
        assert_eq!(flags(&without), expected, "{key}");
    }
    assert!(!read_with(r#""MarksRetry": true"#, r#""MarksRetry": false"#).clients_mark_retries);
    assert!(!read_with(r#""CountedBy": "work""#, r#""CountedBy": "request""#).priority_by_work);
}

#[test]
fn every_enum_value_is_read() {
    for (value, discovery) in [("on_request", DiscoveryMode::Polled), ("pushed", DiscoveryMode::Pushed)] {
        let read = read_with(r#""on_request""#, &format!("{value:?}")).discovery;
        assert_eq!(read, discovery, "{value}");
    }
    for (value, weights) in [
        ("nominal", WeightSource::Nominal),
        ("rough", WeightSource::Nominal),
        ("live", WeightSource::Live),
        ("silent", WeightSource::Unweighted),
    ] {
        assert_eq!(read_with(r#""nominal""#, &format!("{value:?}")).weights, weights, "{value}");
    }
    for (value, reports) in [
        ("piggyback", LoadReportSource::Piggybacked),
        ("pull", LoadReportSource::HealthCheck),
        ("silent", LoadReportSource::Unavailable),
    ] {
        assert_eq!(read_with(r#""piggyback""#, &format!("{value:?}")).load_reports, reports, "{value}");
    }
    let unknown = decode(&all_keys().replace(r#""pure""#, r#""impure""#)).err();
    assert_eq!(unknown.map(|e| e.to_string()).as_deref(), Some("unknown Effect impure"));
}

#[test]
fn minimal_settings_are_read_with_defaults() {
    let DecodedSettings { settings, tenants, zones, idle_timeout, .. } = read(
        r#"{"Lanes":[{"AimUs":1,"DeadlineUs":2,"Effect":"pure","Name":"look"}],"Limits":{"MaxAttempts":3},
        "Rules":{"ColdShare":0.3,"OverloadFactor":3.0,"TipAfterUs":4,"WarmWithinUs":5}}"#,
    );
    assert_eq!((settings.instances, settings.index, settings.zone), (1, 0, None));
    assert_eq!(settings.discovery, DiscoveryMode::Pushed);
    assert_eq!(
        (settings.weights, settings.load_reports),
        (WeightSource::Unweighted, LoadReportSource::Unavailable)
    );
    assert_eq!((settings.rules.answer_grace, settings.rules.max_poll_interval), (0, 0));
    assert_eq!((settings.limits.max_retry_after, settings.limits.connect_timeout), (0, 0));
    assert_eq!((settings.tick, settings.over_quota_weight, idle_timeout), (0, 0.0, 0));
    assert!(tenants.is_empty() && zones.ids().count() == 0);
}

#[test]
fn replies_match_the_stored_transcript() {
    let mut replies = Vec::new();
    serve(WIRE_INPUT.as_bytes(), &mut replies).unwrap_or_else(|error| panic!("{error}"));
    let replies = String::from_utf8(replies).expect("text");
    for (number, (line, stored)) in replies.lines().zip(WIRE_OUTPUT.lines()).enumerate() {
        assert_eq!(line, stored, "line {}", number + 1);
    }
    assert_eq!(replies, WIRE_OUTPUT);
}

#[test]
fn stored_transcript_has_every_kind_of_message_that_the_balancer_uses() {
    let names = |text: &'static str| -> BTreeSet<&'static str> {
        text.lines().filter_map(|line| line.split(' ').next()).filter(|name| !name.is_empty()).collect()
    };
    let events = [
        "alarm",
        "catalog",
        "demand",
        "endpoints",
        "go",
        "health_result",
        "kill",
        "m",
        "mark",
        "peer_data",
        "returned",
        "start",
        "under_way",
        "withdrawn",
    ];
    assert_eq!(names(WIRE_INPUT), BTreeSet::from(events));
    let actions = ["defer", "error", "hand_off", "next", "not_now", "recall", "say_log", "tail"];
    assert_eq!(names(WIRE_OUTPUT), BTreeSet::from(actions));
}

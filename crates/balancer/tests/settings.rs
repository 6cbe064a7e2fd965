//! Decoding of each key of the settings object, and validation of the settings.

mod common;
use common::*;
use lotusmoor_balancer::settings::{DecodeError, decode};
use lotusmoor_balancer::*;

/// Every key, with values that differ from each other and from defaults.
const SETTINGS: &str = r#"{"Balancers": 7, "Index": 3, "Clients": {"MarksRetry": true}, "CountedBy": "work",
"Discovery": "on_request", "Goal": {"Whole": 0.1, "WorstClass": 0.2, "WorstTenant": 0.3, "WorstWindow": 0.4},
"Lanes": [{"Name": "look", "AimUs": 101, "AimStretch": 1.5, "DeadlineUs": 102, "Effect": "token", "DedupScope": "cell",
"KeyTtlUs": 103, "LateShare": 0.6, "Streaming": true, "Worth": 4.5},
{"Name": "book", "AimUs": 104, "DeadlineUs": 105, "Effect": "side_effect"},
{"Name": "read", "AimUs": 106, "DeadlineUs": 107, "Effect": "pure", "DedupScope": "zone"}],
"Limits": {"DialTimeoutUs": 201, "IdleCloseUs": 202, "MaxAttempts": 5, "MaxRetryAfterUs": 203, "MayCancel": true,
"MayDuplicate": true, "Peers": true, "Probes": true, "RetryAfter": true}, "OverShareWorth": 0.7,
"Prices": {"CrossZone": 1.1, "Handshake": 1.2, "LateFail": 1.3, "Probe": 1.4, "Waste": 1.5},
"Report": {"Source": "pull"}, "Rules": {"AnswerSlackUs": 301, "AskWithinUs": 302, "ColdShare": 0.35,
"OverloadFactor": 2.5, "TipAfterUs": 303, "WarmWithinUs": 304}, "TickUs": 401, "WeightSource": "live", "Zone": "b",
"Zones": ["a", "b", "c"], "Tenants": [{"Name": "one", "QuotaPerS": 8.5, "Share": 0.9}]}"#;

#[test]
fn decodes_every_key_of_settings_object() {
    let decoded = decode(SETTINGS).expect("a valid object");
    let s = &decoded.settings;
    assert_eq!((s.instances, s.index, s.zone, s.tick), (7, 3, Some(1), 401));
    assert_eq!((s.clients_mark_retries, s.priority_by_work, s.over_quota_weight), (true, true, 0.7));
    assert_eq!(s.discovery, DiscoveryMode::Polled);
    assert_eq!((s.weights, s.load_reports), (WeightSource::Live, LoadReportSource::HealthCheck));
    let g = &s.goal;
    assert_eq!([g.overall, g.worst_class, g.worst_tenant, g.worst_window], [0.1, 0.2, 0.3, 0.4]);
    let p = &s.prices;
    assert_eq!(
        [p.cross_zone, p.handshake, p.late_or_failed, p.health_check, p.waste],
        [1.1, 1.2, 1.3, 1.4, 1.5]
    );
    let l = &s.limits;
    assert_eq!((l.connect_timeout, l.max_attempts, l.max_retry_after), (201, 5, 203));
    assert_eq!((l.may_cancel, l.may_hedge, l.may_gossip), (true, true, true));
    assert_eq!((l.may_health_check, l.sends_retry_after), (true, true));
    let r = &s.rules;
    assert_eq!((r.answer_grace, r.max_poll_interval), (301, 302));
    assert_eq!((r.initial_capacity_share, r.overload_factor), (0.35, 2.5));
    assert_eq!((r.overload_collapse_after, r.slow_start_duration), (303, 304));
    assert_eq!((s.tenants[0].quota_per_s, s.tenants[0].capacity_share), (8.5, 0.9));
    assert_eq!((decoded.idle_timeout, decoded.tenants), (202, vec!["one".to_owned()]));
    assert_eq!((decoded.zones.find("a"), decoded.zones.find("c")), (Some(0), Some(2)));
    assert_eq!(decoded.classes, ["look", "book", "read"]);
}

#[test]
fn decodes_every_key_of_class() {
    let decoded = decode(SETTINGS).expect("a valid object");
    let [look, book, read] = &decoded.settings.classes[..] else { panic!("three classes") };
    assert_eq!((look.latency_objective, look.deadline), (101, 102));
    assert_eq!((look.objective_per_work, look.late_value_share, look.priority_weight), (1.5, 0.6, 4.5));
    assert_eq!(look.idempotency, Idempotency::WithKey { scope: DedupScope::Cell, ttl: 103 });
    assert_eq!((look.streaming, book.streaming, book.priority_weight), (true, false, 1.0));
    assert_eq!(book.idempotency, Idempotency::NonIdempotent);
    assert_eq!(read.idempotency, Idempotency::Idempotent);
}

#[test]
fn decode_errors_name_key_and_position() {
    let error = |text: &str| decode(text).map(|_| ()).expect_err("an invalid object");
    let unknown = error(&SETTINGS.replace("\"Effect\": \"pure\"", "\"Effect\": \"odd\""));
    assert!(matches!(
        &unknown,
        DecodeError::UnknownIdempotency { class, effect } if class == "read" && effect == "odd"
    ));
    assert_eq!(unknown.to_string(), "unknown Effect odd");
    let missing = error(&SETTINGS.replace("\"MaxAttempts\": 5,", ""));
    assert!(matches!(missing, DecodeError::Json(_)));
    assert!(missing.to_string().starts_with("missing field `MaxAttempts` at line "), "{missing}");
}

#[test]
fn rejects_invalid_settings() {
    let rejects = |edit: fn(&mut Settings)| {
        let mut settings = settings();
        edit(&mut settings);
        Balancer::new(settings, 1).is_err()
    };
    assert!(rejects(|s| s.classes.clear()));
    assert!(rejects(|s| s.classes[0].latency_objective = 0));
    assert!(rejects(|s| s.rules.initial_capacity_share = f64::NAN));
    assert!(rejects(|s| s.rules.slow_start_duration = -1));
    assert!(rejects(|s| s.limits.max_attempts = 0));
    assert!(!rejects(|_| ()));
}

#[test]
fn settings_error_names_setting() {
    type Edit = fn(&mut Settings);
    let invalid: [(Edit, &str); 8] = [
        (|s| s.classes.clear(), "classes"),
        (|s| s.classes[1].latency_objective = 0, "aim"),
        (|s| s.classes[0].deadline = -1, "deadline"),
        (|s| s.classes[2].objective_per_work = f64::NAN, "aim_stretch"),
        (|s| s.limits.max_attempts = 0, "max_attempts"),
        (|s| s.rules.initial_capacity_share = f64::INFINITY, "cold_share"),
        (|s| s.rules.overload_collapse_after = Micros::MAX, "tip_after"),
        (|s| s.tick = -5, "tick"),
    ];
    for (edit, name) in invalid {
        let mut settings = settings();
        edit(&mut settings);
        let error = Balancer::new(settings, 1).err().expect(name).to_string();
        assert!(error.contains(name), "{error}");
    }
}

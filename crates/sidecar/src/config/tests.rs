use super::*;
use crate::endpoint_list::ListedStatus;
use std::path::Path;

/// A configuration with every key that is read.
const ALL_KEYS: &str =
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/sidecar-config.json"));

fn address(of: &str) -> SocketAddr {
    of.parse().expect("an address")
}

fn read(text: &str) -> Config {
    Config::parse(text, None, None).unwrap_or_else(|what| panic!("{what}: {text}"))
}

fn failure(text: &str) -> String {
    Config::parse(text, None, None).err().expect("it can't be used").to_string()
}

#[test]
fn every_key_of_the_file_is_read() {
    let config = read(ALL_KEYS);
    assert_eq!(config.listen, address("127.0.0.1:7000"));
    assert_eq!(config.discovery, address("127.0.0.1:7001"));
    assert_eq!(config.management, Some(address("127.0.0.1:7002")));
    assert_eq!(config.seed, 0x00c0_ffee_1234_5678);
    assert_eq!((config.sockets, config.memory_mb), (2048, 96));
    assert_eq!(config.peer_listen, Some(address("127.0.0.1:7003")));
    assert_eq!(config.peers, ["127.0.0.1:7003", "127.0.0.2:7003"].map(address));
    assert_eq!(config.peers_all, Some(address("127.255.255.255:7003")));
    assert_eq!(config.longest_deadline(), Duration::from_micros(2_040_000));
    assert_eq!(config.decoded.classes, ["look", "book", "pay", "move", "mark"]);
}

#[test]
fn every_key_of_the_known_list_is_read() {
    let known = read(ALL_KEYS).known.expect("a list");
    assert_eq!((known.index, known.snapshot, known.unreadable.is_none()), (41, true, true));
    let [full, least, gone] = &known.endpoints[..] else { panic!("three entries") };
    assert_eq!((full.name.as_str(), full.address), ("ledger-1", Some(address("10.4.0.1:8443"))));
    assert_eq!((full.zone.as_deref(), full.machine_type.as_deref()), (Some("a"), Some("m5.large")));
    assert_eq!((full.cell, full.status), (7, ListedStatus::Active));
    assert_eq!((full.weight, full.started_ms), (2.5, 1_790_000_000_123));
    assert_eq!((least.name.as_str(), least.status), ("ledger-2", ListedStatus::Draining));
    assert_eq!((least.address, least.zone.as_deref(), least.machine_type.as_deref()), (None, None, None));
    assert_eq!((least.cell, least.weight, least.started_ms), (0, 1.0, 0));
    assert_eq!(gone.status, ListedStatus::Removed);
}

#[test]
fn every_key_of_the_registry_is_read_under_its_name_roster() {
    let registry = read(ALL_KEYS).registry.expect("a registry");
    assert_eq!(registry.addresses, ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"].map(address));
    assert_eq!(registry.file.as_deref(), Some(Path::new("/var/lib/balancer/list.json")));
    assert_eq!((registry.max_removed_share, registry.stale_after_ms), (Some(0.25), Some(20_000)));
    assert_eq!(registry.services, BTreeSet::from(["ledger".to_owned(), "mail".to_owned()]));
    let least = ALL_KEYS.replace(r#""hold_back": 0.25,"#, "").replace(r#""stale_after_ms": 20000,"#, "");
    let least = least.replace(r#""file": "/var/lib/balancer/list.json","#, "");
    let registry = read(&least).registry.expect("a registry");
    assert_eq!((registry.file, registry.max_removed_share, registry.stale_after_ms), (None, None, None));
}

#[test]
fn an_unknown_key_is_let_through_but_not_in_the_registry() {
    read(&ALL_KEYS.replacen('{', r#"{"unknown": [1],"#, 1));
    let unknown = ALL_KEYS.replace(r#""hold_back""#, r#""hold_bakc""#);
    assert!(failure(&unknown).contains("unknown field `hold_bakc`"), "{}", failure(&unknown));
}

#[test]
fn what_is_absent_has_its_default_and_what_is_given_beside_the_file_holds() {
    let settings = &ALL_KEYS[ALL_KEYS.find(r#""settings""#).expect("settings")..];
    let config =
        Config::parse(&format!("{{{settings}"), Some(address("127.0.0.9:1")), Some(address("127.0.0.9:2")))
            .unwrap_or_else(|what| panic!("{what}"));
    assert_eq!((config.listen, config.discovery), (address("127.0.0.9:1"), address("127.0.0.9:2")));
    assert_eq!((config.sockets, config.memory_mb, config.seed), (1024, 192, 0));
    assert_eq!((config.management, config.peer_listen, config.peers_all), (None, None, None));
    assert!(config.peers.is_empty() && config.known.is_none() && config.registry.is_none());
    let config = Config::parse(ALL_KEYS, Some(address("127.0.0.9:1")), Some(address("127.0.0.9:2")));
    let config = config.unwrap_or_else(|what| panic!("{what}"));
    assert_eq!((config.listen, config.discovery), (address("127.0.0.9:1"), address("127.0.0.9:2")));
}

#[test]
fn what_cannot_be_meant_is_named_by_its_key() {
    for (right, wrong, what) in [
        (r#""sockets": 2048"#, r#""sockets": 31"#, "limits: sockets must be 32 or more"),
        (r#""memory_mb": 96"#, r#""memory_mb": 15"#, "limits: memory_mb must be 16 or more"),
        (r#""hold_back": 0.25"#, r#""hold_back": 0"#, "roster: hold_back must lie above 0 and up to 1"),
        (r#""stale_after_ms": 20000"#, r#""stale_after_ms": 0"#, "roster: stale_after_ms must be above 0"),
        (
            r#""services": ["ledger", "mail"]"#,
            r#""services": ["a b"]"#,
            "roster: services: a name has 1 to 64 letters, digits or . _ : -",
        ),
        (
            r#"["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"]"#,
            "[]",
            "roster: addresses: at least one is wanted",
        ),
    ] {
        assert!(ALL_KEYS.contains(right), "{right}");
        assert_eq!(failure(&ALL_KEYS.replace(right, wrong)), what);
    }
}

/// A configuration with only the keys that have no default, and a part for the registry.
fn read_with(registry: &str) -> Result<Config, InvalidConfig> {
    let settings = &ALL_KEYS[ALL_KEYS.find(r#""settings""#).expect("settings")..];
    let text = format!(r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2",{registry}{settings}"#);
    Config::parse(&text, None, None)
}

#[test]
fn takes_the_registry_under_either_key() {
    for key in ["registry", "roster"] {
        let part =
            format!(r#""{key}":{{"addresses":["127.0.0.1:7400"],"hold_back":0.25,"services":["a"]}},"#);
        let registry = read_with(&part).expect("it is read").registry.expect("a registry");
        assert_eq!(registry.addresses, ["127.0.0.1:7400".parse().expect("an address")], "{key}");
        assert_eq!((registry.max_removed_share, registry.services.len()), (Some(0.25), 1), "{key}");
    }
    assert!(read_with("").expect("it is read").registry.is_none());
}

#[test]
fn refuses_a_registry_that_can_not_be_used() {
    for key in ["registry", "roster"] {
        let error = read_with(&format!(r#""{key}":{{"addresses":[]}},"#)).err().map(|e| e.to_string());
        assert_eq!(error.as_deref(), Some("roster: addresses: at least one is wanted"), "{key}");
    }
    let address = r#"{"addresses":["127.0.0.1:7400"]}"#;
    assert!(read_with(&format!(r#""registry":{address},"roster":{address},"#)).is_err(), "both keys");
}

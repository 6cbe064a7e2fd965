use super::*;
use crate::endpoint_list::ListedStatus;
use std::path::Path;

/// A configuration with every key that is read.
const ALL_KEYS: &str =
    include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/sidecar-config.json"));

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn read(text: &str) -> Config {
    Config::parse(text, None, None).unwrap_or_else(|error| panic!("{error}: {text}"))
}

fn failure(text: &str) -> String {
    Config::parse(text, None, None).err().expect("the configuration is invalid").to_string()
}

#[test]
fn every_key_of_the_file_is_read() {
    let config = read(ALL_KEYS);
    assert_eq!(config.listen, address("127.0.0.1:7000"));
    assert_eq!(config.discovery, address("127.0.0.1:7001"));
    assert_eq!(config.management, Some(address("127.0.0.1:7002")));
    assert_eq!(config.seed, 0x00c0_ffee_1234_5678);
    assert_eq!((config.max_file_descriptors, config.memory_mb), (2048, 96));
    assert_eq!(config.peer_listen, Some(address("127.0.0.1:7003")));
    assert_eq!(config.peers, ["127.0.0.1:7003", "127.0.0.2:7003"].map(address));
    assert_eq!(config.peers_broadcast, Some(address("127.255.255.255:7003")));
    assert_eq!(config.longest_deadline(), Duration::from_micros(2_040_000));
    assert_eq!(config.decoded_settings.classes, ["look", "book", "pay", "move", "mark"]);
}

#[test]
fn every_key_of_the_cached_list_is_read() {
    let list = read(ALL_KEYS).cached_list.expect("a list");
    assert_eq!((list.index, list.snapshot, list.unreadable.is_none()), (41, true, true));
    let [full, minimal, removed] = &list.endpoints[..] else { panic!("three entries") };
    assert_eq!((full.name.as_str(), full.address), ("ledger-1", Some(address("10.4.0.1:8443"))));
    assert_eq!((full.zone.as_deref(), full.machine_type.as_deref()), (Some("a"), Some("m5.large")));
    assert_eq!((full.cell, full.status), (7, ListedStatus::Active));
    assert_eq!((full.weight, full.started_ms), (2.5, 1_790_000_000_123));
    assert_eq!((minimal.name.as_str(), minimal.status), ("ledger-2", ListedStatus::Draining));
    assert_eq!(
        (minimal.address, minimal.zone.as_deref(), minimal.machine_type.as_deref()),
        (None, None, None)
    );
    assert_eq!((minimal.cell, minimal.weight, minimal.started_ms), (0, 1.0, 0));
    assert_eq!(removed.status, ListedStatus::Removed);
}

#[test]
fn every_key_of_the_registry_is_read_under_its_alias_roster() {
    let registry = read(ALL_KEYS).registry.expect("a registry");
    assert_eq!(registry.addresses, ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"].map(address));
    assert_eq!(registry.file.as_deref(), Some(Path::new("/var/lib/balancer/list.json")));
    assert_eq!((registry.max_removed_share, registry.stale_after_ms), (Some(0.25), Some(20_000)));
    assert_eq!(registry.services, BTreeSet::from(["ledger".to_owned(), "mail".to_owned()]));
    let minimal = ALL_KEYS.replace(r#""hold_back": 0.25,"#, "").replace(r#""stale_after_ms": 20000,"#, "");
    let minimal = minimal.replace(r#""file": "/var/lib/balancer/list.json","#, "");
    let registry = read(&minimal).registry.expect("a registry");
    assert_eq!((registry.file, registry.max_removed_share, registry.stale_after_ms), (None, None, None));
}

#[test]
fn unknown_keys_are_ignored_except_in_the_registry() {
    read(&ALL_KEYS.replacen('{', r#"{"unknown": [1],"#, 1));
    let unknown = ALL_KEYS.replace(r#""hold_back""#, r#""hold_bakc""#);
    assert!(failure(&unknown).contains("unknown field `hold_bakc`"), "{}", failure(&unknown));
}

#[test]
fn absent_keys_have_defaults_and_given_addresses_override_the_file() {
    let settings = &ALL_KEYS[ALL_KEYS.find(r#""settings""#).expect("settings")..];
    let config =
        Config::parse(&format!("{{{settings}"), Some(address("127.0.0.9:1")), Some(address("127.0.0.9:2")))
            .unwrap_or_else(|error| panic!("{error}"));
    assert_eq!((config.listen, config.discovery), (address("127.0.0.9:1"), address("127.0.0.9:2")));
    assert_eq!((config.max_file_descriptors, config.memory_mb, config.seed), (1024, 192, 0));
    assert_eq!((config.management, config.peer_listen, config.peers_broadcast), (None, None, None));
    assert!(config.peers.is_empty() && config.cached_list.is_none() && config.registry.is_none());
    let config = Config::parse(ALL_KEYS, Some(address("127.0.0.9:1")), Some(address("127.0.0.9:2")));
    let config = config.unwrap_or_else(|error| panic!("{error}"));
    assert_eq!((config.listen, config.discovery), (address("127.0.0.9:1"), address("127.0.0.9:2")));
}

#[test]
fn invalid_values_are_reported_by_key() {
    for (valid, invalid, error) in [
        (r#""sockets": 2048"#, r#""sockets": 31"#, "limits: sockets must be 32 or more"),
        (r#""memory_mb": 96"#, r#""memory_mb": 15"#, "limits: memory_mb must be 16 or more"),
        (r#""hold_back": 0.25"#, r#""hold_back": 0"#, "roster: hold_back must be above 0 and at most 1"),
        (r#""stale_after_ms": 20000"#, r#""stale_after_ms": 0"#, "roster: stale_after_ms must be above 0"),
        (
            r#""services": ["ledger", "mail"]"#,
            r#""services": ["a b"]"#,
            "roster: services: a name has 1 to 64 letters, digits or . _ : -",
        ),
        (
            r#"["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"]"#,
            "[]",
            "roster: addresses: at least one is required",
        ),
    ] {
        assert!(ALL_KEYS.contains(valid), "{valid}");
        assert_eq!(failure(&ALL_KEYS.replace(valid, invalid)), error);
    }
}

/// Parses a configuration that has only the keys without defaults, and the given registry section.
fn read_with(registry: &str) -> Result<Config, InvalidConfig> {
    let settings = &ALL_KEYS[ALL_KEYS.find(r#""settings""#).expect("settings")..];
    let text = format!(r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2",{registry}{settings}"#);
    Config::parse(&text, None, None)
}

#[test]
fn accepts_the_registry_under_either_key() {
    for key in ["registry", "roster"] {
        let section =
            format!(r#""{key}":{{"addresses":["127.0.0.1:7400"],"hold_back":0.25,"services":["a"]}},"#);
        let registry = read_with(&section).expect("a valid configuration").registry.expect("a registry");
        assert_eq!(registry.addresses, ["127.0.0.1:7400".parse().expect("an address")], "{key}");
        assert_eq!((registry.max_removed_share, registry.services.len()), (Some(0.25), 1), "{key}");
    }
    assert!(read_with("").expect("a valid configuration").registry.is_none());
}

#[test]
fn rejects_an_invalid_registry_section() {
    for key in ["registry", "roster"] {
        let error = read_with(&format!(r#""{key}":{{"addresses":[]}},"#)).err().map(|e| e.to_string());
        assert_eq!(error.as_deref(), Some("roster: addresses: at least one is required"), "{key}");
    }
    let address = r#"{"addresses":["127.0.0.1:7400"]}"#;
    assert!(read_with(&format!(r#""registry":{address},"roster":{address},"#)).is_err(), "both keys");
}

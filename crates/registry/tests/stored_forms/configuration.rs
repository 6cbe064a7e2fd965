//! A replica's configuration file with all keys. The fixture was written by hand, with the keys of commit 3f326ce.

use crate::fixtures;
use lotusmoor_registry::config::Config;
use std::collections::BTreeMap;
use std::path::Path;

#[test]
fn reads_every_key_of_the_configuration() {
    let config = Config::read(&fixtures::path("roster.toml")).expect("a valid configuration");
    assert_eq!((config.id, config.format), (4, 2));
    assert_eq!(config.listen.to_string(), "127.0.0.1:7404");
    assert_eq!(config.address.as_deref(), Some("10.0.0.4:7400"));
    assert_eq!(config.folder, Path::new("/var/lib/roster"));
    assert_eq!(config.join, ["127.0.0.1:7401", "127.0.0.1:7402"]);
    assert_eq!(config.address_overrides, BTreeMap::from([("1".to_owned(), "127.0.0.1:7501".to_owned())]));
    assert_eq!((config.leases.window_s, config.leases.share, config.leases.draining_s), (20.0, 0.2, 15.0));
    assert_eq!((config.ages.stale_after_s, config.ages.refuse_after_s), (4.0, 40.0));
    assert_eq!((config.limits.connections, config.limits.watchers), (100, 90));
    assert_eq!(config.limits.full_lists_per_s, 50.0);
    assert_eq!((config.timing.heartbeat_ms, config.timing.election_ms), (300, [800, 1600]));
    assert_eq!((config.timing.read_index_interval_ms, config.timing.request_timeout_ms), (600, 3000));
    assert_eq!((config.log.snapshot_every, config.log.retained_entries), (500, 50));
}

#[test]
fn default_configuration_has_default_folder() {
    assert_eq!(Config::default().folder, Path::new("roster"));
}

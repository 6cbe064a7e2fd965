//! The list as it goes over the wire and into files: versions, entries, and answers of a replica.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// A version of the list. Epochs come first: a list that was founded anew, or restored from a backup, has a higher
/// one than all that came before it. Within an epoch the index goes up by one with every change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct Version {
    /// Which history this is.
    pub epoch: u64,
    /// How far it has come. It never goes back, not even from one epoch to the next.
    pub index: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.epoch, self.index)
    }
}

/// State of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Takes requests.
    #[default]
    Active,
    /// Draining: it finishes what it has and takes nothing new.
    #[serde(rename = "leaving")]
    Draining,
    /// Removed; appears in changes only.
    #[serde(rename = "left")]
    Removed,
}

/// How an entry came to be what it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StatusReason {
    /// It was registered.
    #[default]
    Registered,
    /// It was drained by name.
    Drained,
    /// It was removed by name.
    Removed,
    /// Its lease ran out: nobody has said that it leaves, it was only not heard of.
    Expired,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// Its name, the same for every reader.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The service that it is a server of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Its zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Its region.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
    /// Its machine type.
    #[serde(default, rename = "type", skip_serializing_if = "Option::is_none")]
    pub machine_type: Option<String>,
    /// Its cell.
    #[serde(default, rename = "group")]
    pub cell: u64,
    /// Its state.
    #[serde(default)]
    pub status: Status,
    /// Its size, for comparison with others.
    #[serde(default = "unit")]
    pub weight: f64,
    /// Unix time in milliseconds of its last start; 0 is long ago.
    #[serde(default, rename = "since_ms")]
    pub started_ms: i64,
    /// How it came to its state.
    #[serde(default, rename = "why")]
    pub status_reason: StatusReason,
}

fn unit() -> f64 {
    1.0
}

/// An answer of a replica: the whole list, or what has changed since the version that was asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ListUpdate {
    /// The version that it brings its reader to.
    #[serde(flatten)]
    pub version: Version,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// Equal for equal histories; two that differ at one version are a fault of the service.
    pub digest: u64,
    /// The replica that answered.
    pub replica: u64,
    /// How long before the answer the replica last knew that nothing newer was acknowledged, in milliseconds.
    pub age_ms: u64,
    /// How long the answer had waited for news, in milliseconds.
    pub waited_ms: u64,
    /// The services that it was asked for, in order of their names, and tells of alone; `None`: of all servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
    /// The entries.
    pub endpoints: Vec<Entry>,
    /// Entries that can't be read. What is known of them stays as it is.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry that can't be read.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableEntry {
    /// Its name, where that much can be read.
    pub name: Option<String>,
    /// What is wrong with it.
    pub error: String,
}

#[derive(Deserialize)]
struct Written {
    epoch: u64,
    index: u64,
    snapshot: bool,
    digest: u64,
    #[serde(default)]
    replica: u64,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    waited_ms: u64,
    #[serde(default)]
    services: Option<Vec<String>>,
    endpoints: Vec<serde_json::Value>,
}

impl ListUpdate {
    /// Reads an answer. An entry that can't be read is set aside, as a newer service may know words that this
    /// reader does not; given up for it, all others would be lost to this reader as well.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let written: Written = serde_json::from_slice(bytes)?;
        let mut update = Self {
            version: Version { epoch: written.epoch, index: written.index },
            snapshot: written.snapshot,
            digest: written.digest,
            replica: written.replica,
            age_ms: written.age_ms,
            waited_ms: written.waited_ms,
            services: written.services,
            ..Self::default()
        };
        for value in written.endpoints {
            let name = value.get("name").and_then(|n| n.as_str()).map(str::to_owned);
            match serde_json::from_value(value) {
                Ok(entry) => update.endpoints.push(entry),
                Err(e) => update.unreadable.push(UnreadableEntry { name, error: e.to_string() }),
            }
        }
        Ok(update)
    }
}

/// The list as a watcher has it, and as it stands in the cache file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct EndpointList {
    /// Its version.
    pub version: Version,
    /// The service's digest of it.
    pub digest: u64,
    /// The services that it was asked for, in order of their names; none: it is of all servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
    /// Its entries by name; none of them has left.
    pub entries: BTreeMap<String, Entry>,
}

impl EndpointList {
    /// This list with an update applied; `None` if the update holds changes to another list than this.
    pub fn updated(&self, update: &ListUpdate, polled_after: Option<Version>) -> Option<Self> {
        let services = update.services.as_deref().unwrap_or_default();
        let mut entries = if update.snapshot {
            let kept = |u: &UnreadableEntry| self.entries.get_key_value(u.name.as_ref()?);
            update.unreadable.iter().filter_map(kept).map(|(n, e)| (n.clone(), e.clone())).collect()
        } else if polled_after == Some(self.version)
            && update.version.epoch == self.version.epoch
            && services == self.services
        {
            self.entries.clone()
        } else {
            return None;
        };
        for entry in &update.endpoints {
            if entry.status == Status::Removed {
                entries.remove(&entry.name);
            } else {
                entries.insert(entry.name.clone(), entry.clone());
            }
        }
        Some(Self { version: update.version, digest: update.digest, services: services.to_vec(), entries })
    }

    /// Number of entries that take requests.
    pub fn active_count(&self) -> usize {
        self.entries.values().filter(|e| e.status == Status::Active).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, status: Status) -> Entry {
        let text = format!(r#"{{"name":"{name}","address":"127.0.0.1:80"}}"#);
        Entry { status, ..serde_json::from_str(&text).expect("it is read") }
    }

    #[test]
    fn an_entry_that_can_not_be_read_is_set_aside_and_what_is_known_of_it_stays() {
        let text = r#"{"epoch":1,"index":9,"snapshot":true,"digest":5,"endpoints":[
            {"name":"a","address":"127.0.0.1:80","status":"active"},
            {"name":"b","address":"127.0.0.1:81","status":"resting"},{"address":7}]}"#;
        let update = ListUpdate::from_json(text.as_bytes()).expect("the rest is read");
        assert_eq!((update.endpoints.len(), update.unreadable.len()), (1, 2));
        let mut known = EndpointList::default();
        known.entries.insert("b".into(), entry("b", Status::Active));
        known.entries.insert("c".into(), entry("c", Status::Active));
        let after = known.updated(&update, None).expect("a whole list");
        assert_eq!(after.entries.keys().collect::<Vec<_>>(), ["a", "b"]);
        assert!(ListUpdate::from_json(b"{\"epoch\":1").is_err());
    }

    #[test]
    fn changes_apply_only_to_the_version_that_they_were_asked_for() {
        let known = EndpointList { version: Version { epoch: 1, index: 4 }, ..EndpointList::default() };
        let to = Version { epoch: 1, index: 5 };
        let update =
            ListUpdate { version: to, endpoints: vec![entry("a", Status::Active)], ..ListUpdate::default() };
        assert_eq!(known.updated(&update, Some(Version { epoch: 1, index: 3 })), None);
        let later = known.updated(&update, Some(known.version)).expect("they fit");
        assert_eq!((later.version, later.active_count()), (to, 1));
        let gone = ListUpdate { endpoints: vec![entry("a", Status::Removed)], ..update };
        assert_eq!(known.updated(&gone, Some(known.version)).map(|k| k.entries.len()), Some(0));
    }

    #[test]
    fn epochs_come_before_indexes() {
        let v = |epoch, index| Version { epoch, index };
        assert!(v(2, 1) > v(1, 9) && v(1, 2) > v(1, 1));
    }
}

//! The endpoint list as it is sent and stored: versions, entries, and the responses of a replica.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// A version of the list. Epochs are compared first: a list that was bootstrapped again or restored from a backup has
/// a higher epoch than all lists before it. Within an epoch each change raises the index by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct Version {
    /// Identifies the bootstrap or restore that started this history of the list.
    pub epoch: u64,
    /// Number of the last change. It never decreases, not even from one epoch to the next.
    pub index: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.epoch, self.index)
    }
}

/// Status of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Takes requests.
    #[default]
    Active,
    /// Completes the requests in flight and takes no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// Removed; appears in changes only.
    #[serde(rename = "left")]
    Removed,
}

/// Why an entry has its status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StatusReason {
    /// It was registered.
    #[default]
    Registered,
    /// An operator or the server itself drained it.
    Drained,
    /// An operator or the server itself removed it.
    Removed,
    /// Its lease expired. The server may be healthy and only cut off from the registry.
    Expired,
}

/// An entry of the list: an endpoint, which is one server of a service. In this crate, server and endpoint
/// mean the same.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// Unique name of the server, the same for all clients.
    pub name: String,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// Its service.
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
    /// Its status.
    #[serde(default)]
    pub status: Status,
    /// Its capacity, relative to other servers.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Unix time of its last start in milliseconds; 0 if it has been running for long.
    #[serde(default, rename = "since_ms")]
    pub started_ms: i64,
    /// Why it has this status.
    #[serde(default, rename = "why")]
    pub status_reason: StatusReason,
}

fn default_weight() -> f64 {
    1.0
}

/// A response of a replica: the complete list, or the changes since the version in the poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ListUpdate {
    /// Version of the list with this update applied.
    #[serde(flatten)]
    pub version: Version,
    /// Whether this is the complete list.
    pub snapshot: bool,
    /// Digest of the list's history. Two replicas with different digests at the same version have diverged, which is a
    /// fault of the registry.
    pub digest: u64,
    /// The replica that responded.
    pub replica: u64,
    /// Age of the list at the response, in milliseconds: the time since the replica last knew that its list had every
    /// acknowledged change.
    pub age_ms: u64,
    /// How long the replica held the poll before it responded, in milliseconds.
    pub waited_ms: u64,
    /// The services that the update is limited to, sorted by name; `None` if it covers all servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<String>>,
    /// The entries.
    pub endpoints: Vec<Entry>,
    /// Entries that could not be decoded. Known entries with these names stay unchanged.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry that could not be decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableEntry {
    /// Its name, if that could be decoded.
    pub name: Option<String>,
    /// Why it could not be decoded.
    pub error: String,
}

impl fmt::Display for UnreadableEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.name.as_deref().unwrap_or("one without a name"), self.error)
    }
}

/// A response with its entries not yet decoded.
#[derive(Deserialize)]
struct WireUpdate {
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
    /// Decodes a response. An entry that can't be decoded is added to `unreadable` and the others are used, as a newer
    /// registry may send values that this release does not know.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let wire: WireUpdate = serde_json::from_slice(bytes)?;
        let mut update = Self {
            version: Version { epoch: wire.epoch, index: wire.index },
            snapshot: wire.snapshot,
            digest: wire.digest,
            replica: wire.replica,
            age_ms: wire.age_ms,
            waited_ms: wire.waited_ms,
            services: wire.services,
            ..Self::default()
        };
        for value in wire.endpoints {
            let name = value.get("name").and_then(|n| n.as_str()).map(str::to_owned);
            match serde_json::from_value(value) {
                Ok(entry) => update.endpoints.push(entry),
                Err(e) => update.unreadable.push(UnreadableEntry { name, error: e.to_string() }),
            }
        }
        Ok(update)
    }
}

/// The list of a watcher; it is also what the cache file stores.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct EndpointList {
    /// Version of the list.
    pub version: Version,
    /// The registry's digest of the list.
    pub digest: u64,
    /// The services that the list is limited to, sorted by name; empty if it covers all servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
    /// The entries by name, without removed ones.
    pub entries: BTreeMap<String, Entry>,
}

impl EndpointList {
    /// Returns this list with an update applied; `None` if the update consists of changes to a different list.
    ///
    /// `polled_after` is the version after which the poll requested changes.
    pub fn updated(&self, update: &ListUpdate, polled_after: Option<Version>) -> Option<Self> {
        let services = update.services.as_deref().unwrap_or_default();
        let mut entries = if update.snapshot {
            let known = |entry: &UnreadableEntry| self.entries.get_key_value(entry.name.as_ref()?);
            update.unreadable.iter().filter_map(known).map(|(name, e)| (name.clone(), e.clone())).collect()
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
mod tests;

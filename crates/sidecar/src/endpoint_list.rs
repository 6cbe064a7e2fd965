//! The endpoint list as discovery sends it and the configuration contains it. The protocol's field names are mapped to
//! the program's here.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// A list of endpoints, or the changes to one.
#[derive(Debug, Default, Deserialize)]
#[serde(from = "EncodedList")]
pub struct ListMessage {
    /// Its version.
    pub index: u64,
    /// Whether this is the complete list rather than changes.
    pub snapshot: bool,
    /// The readable entries.
    pub endpoints: Vec<ListedEndpoint>,
    /// The error of the first unreadable entry, if there is one.
    pub unreadable: Option<serde_json::Error>,
}

/// A list whose entries are not decoded yet.
#[derive(Deserialize)]
struct EncodedList {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Box<RawValue>>,
}

impl From<EncodedList> for ListMessage {
    /// Skips unreadable entries. If one of them made the whole list invalid, discovery would send it again and again,
    /// and all changes to the other entries would be lost.
    fn from(encoded: EncodedList) -> Self {
        let mut list = Self { index: encoded.index, snapshot: encoded.snapshot, ..Self::default() };
        for entry in encoded.endpoints {
            match serde_json::from_str(entry.get()) {
                Ok(endpoint) => list.endpoints.push(endpoint),
                Err(e) => drop(list.unreadable.get_or_insert(e)),
            }
        }
        list
    }
}

/// One endpoint.
#[derive(Debug, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, the same at every sidecar.
    pub name: String,
    /// The address at which this sidecar reaches it.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its type of machine.
    #[serde(rename = "type")]
    pub machine_type: Option<String>,
    /// Its cell.
    #[serde(default, rename = "group")]
    pub cell: u64,
    /// Its status.
    pub status: ListedStatus,
    /// Its capacity relative to other endpoints.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Unix time in milliseconds of its last start; 0 stands for a start long ago.
    #[serde(default, rename = "since_ms")]
    pub started_ms: i64,
}

/// The status of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ListedStatus {
    /// It accepts requests.
    #[serde(rename = "active")]
    Active,
    /// It finishes its current requests and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// It no longer exists.
    #[serde(rename = "left")]
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

#[cfg(test)]
mod tests;

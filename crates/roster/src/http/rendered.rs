//! Lists made into text once for all who ask for the same: a change under three thousand watchers is written down
//! once, not three thousand times.

use crate::node::Node;
use crate::raft::Transport;
use bytes::Bytes;
use lotusmoor_client::{Entry, Update, Version};
use serde::Serialize;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

/// A list, or changes, as text.
#[derive(Clone)]
pub struct Rendered {
    /// The version that it brings to.
    pub version: Version,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// The list's digest.
    pub digest: u64,
    /// The entries as the project's own readers get them.
    pub own: Bytes,
    /// The entries as the platform's protocol has them.
    pub platform: Bytes,
}

/// An entry as the platform's protocol has it.
#[derive(Serialize)]
struct Line<'a> {
    name: &'a str,
    address: std::net::SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<&'a str>,
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    kind: Option<&'a str>,
    group: u64,
    status: lotusmoor_client::Status,
    weight: f64,
    since_ms: i64,
}

impl<'a> From<&'a Entry> for Line<'a> {
    fn from(e: &'a Entry) -> Self {
        Self {
            name: &e.name,
            address: e.address,
            zone: e.zone.as_deref(),
            kind: e.kind.as_deref(),
            group: e.group,
            status: e.status,
            weight: e.weight,
            since_ms: e.since_ms,
        }
    }
}

impl From<Update> for Rendered {
    fn from(update: Update) -> Self {
        let lines: Vec<Line> = update.endpoints.iter().map(Line::from).collect();
        let text = |written: Result<Vec<u8>, serde_json::Error>| Bytes::from(written.unwrap_or_default());
        Self {
            version: update.version,
            snapshot: update.snapshot,
            digest: update.digest,
            own: text(serde_json::to_vec(&update.endpoints)),
            platform: text(serde_json::to_vec(&lines)),
        }
    }
}

/// Most that is kept at a time: readers are at a few versions, not at all of them.
const MOST: usize = 64;

/// What has been made of the newest version, by the version of its readers.
#[derive(Default)]
pub struct Renderings(Mutex<Newest>);

#[derive(Default)]
struct Newest {
    version: Version,
    by_reader: HashMap<Option<u64>, Arc<Rendered>>,
}

impl Renderings {
    /// What a reader of that version is told now.
    pub fn after<T: Transport>(&self, node: &Node<T>, after: Option<u64>) -> Arc<Rendered> {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let version = node.shared().state().list.version();
        if kept.version != version || kept.by_reader.len() >= MOST {
            *kept = Newest { version, by_reader: HashMap::new() };
        }
        if let Some(rendered) = kept.by_reader.get(&after) {
            return Arc::clone(rendered);
        }
        let update = node.shared().state().list.update(after);
        let rendered = Arc::new(Rendered::from(update));
        // The list may have gone on between the two looks.
        if rendered.version == version {
            kept.by_reader.insert(after, Arc::clone(&rendered));
        }
        rendered
    }
}

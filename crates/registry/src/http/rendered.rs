//! Lists made into text once for all who ask for the same: a change under three thousand watchers is written down
//! once, not three thousand times.

use crate::node::Node;
use crate::raft::Transport;
use bytes::Bytes;
use lotusmoor_registry_client::{Entry, ListUpdate, Version};
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
    status: lotusmoor_registry_client::Status,
    weight: f64,
    since_ms: i64,
}

impl<'a> From<&'a Entry> for Line<'a> {
    fn from(e: &'a Entry) -> Self {
        Self {
            name: &e.name,
            address: e.address,
            zone: e.zone.as_deref(),
            kind: e.machine_type.as_deref(),
            group: e.cell,
            status: e.status,
            weight: e.weight,
            since_ms: e.started_ms,
        }
    }
}

fn text(lines: &impl Serialize) -> Bytes {
    Bytes::from(serde_json::to_vec(lines).unwrap_or_default())
}

impl From<ListUpdate> for Rendered {
    fn from(update: ListUpdate) -> Self {
        let lines: Vec<Line> = update.endpoints.iter().map(Line::from).collect();
        Self { platform: text(&lines), ..Self::own(&update) }
    }
}

impl Rendered {
    /// For the project's own readers alone.
    fn own(update: &ListUpdate) -> Self {
        Self {
            version: update.version,
            snapshot: update.snapshot,
            digest: update.digest,
            own: text(&update.endpoints),
            platform: Bytes::new(),
        }
    }

    /// No change up to this version.
    fn nothing(version: Version, digest: u64) -> Self {
        let none = Bytes::from_static(b"[]");
        Self { version, snapshot: false, digest, own: none, platform: Bytes::new() }
    }
}

/// Most that is kept at a time: readers are at a few versions, not at all of them.
const MOST: usize = 64;

/// Most bytes of lists by service that are kept at a time.
const MOST_BYTES: usize = 16 << 20;

/// What has been made of the newest version, by the version of its readers.
#[derive(Default)]
pub struct Renderings(Mutex<Newest>, Mutex<ByService>);

/// A set of services, and where its readers are alike.
type Alike = (Arc<[String]>, Option<u64>);

/// The same for readers of services, by what they ask for and where they are alike.
#[derive(Default)]
struct ByService {
    version: Version,
    bytes: usize,
    by_reader: HashMap<Alike, Arc<Rendered>>,
}

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
    /// What a reader of these services is told now, who has the version of that index.
    pub fn of<T: Transport>(
        &self,
        node: &Node<T>,
        after: Option<u64>,
        services: &Arc<[String]>,
    ) -> Arc<Rendered> {
        let (version, alike) = {
            let list = &node.shared().state().list;
            let (version, alike) = (list.version(), list.equivalent_index(after, services));
            if alike.is_some_and(|alike| alike >= list.services_changed_index(services)) {
                // Nothing is new: most waits end so, and readers are of many services.
                return Arc::new(Rendered::nothing(version, list.services_digest(services)));
            }
            (version, alike)
        };
        let reader = (Arc::clone(services), alike);
        let kept = || self.1.lock().unwrap_or_else(PoisonError::into_inner);
        {
            let kept = kept();
            if kept.version == version
                && let Some(rendered) = kept.by_reader.get(&reader)
            {
                return Arc::clone(rendered);
            }
        }
        // Not under the lock: others need not wait for it. Two that are alike may be made twice.
        let update = node.shared().state().list.update_for_services(alike, services);
        let rendered = Arc::new(Rendered::own(&update));
        let mut kept = kept();
        if kept.version < rendered.version || kept.bytes > MOST_BYTES {
            *kept = ByService { version: rendered.version, ..ByService::default() };
        }
        // The list may have gone on between the two looks.
        if kept.version == rendered.version && rendered.version == version {
            kept.bytes += rendered.own.len();
            kept.by_reader.insert(reader, Arc::clone(&rendered));
        }
        rendered
    }
}

//! Caches lists encoded as JSON, so that a change is encoded once, and not for each of three thousand watchers.

use crate::node::Node;
use crate::raft::Transport;
use bytes::Bytes;
use lotusmoor_registry_client::{Entry, ListUpdate, Version};
use serde::Serialize;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A list, or changes to it, encoded as JSON.
#[derive(Clone)]
pub struct RenderedList {
    /// The version that a reader has after applying it.
    pub version: Version,
    /// Whether it is the full list; otherwise it is changes.
    pub snapshot: bool,
    /// The list's digest.
    pub digest: u64,
    /// The entries in the registry's own protocol.
    pub native_entries: Bytes,
    /// The entries in the platform's discovery protocol (`/discovery/hosts`); empty if limited to some services.
    pub platform_entries: Bytes,
}

/// An entry in the platform's discovery protocol.
#[derive(Serialize)]
struct PlatformEntry<'a> {
    name: &'a str,
    address: std::net::SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<&'a str>,
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    machine_type: Option<&'a str>,
    #[serde(rename = "group")]
    cell: u64,
    status: lotusmoor_registry_client::Status,
    weight: f64,
    #[serde(rename = "since_ms")]
    started_ms: i64,
}

impl<'a> From<&'a Entry> for PlatformEntry<'a> {
    fn from(entry: &'a Entry) -> Self {
        Self {
            name: &entry.name,
            address: entry.address,
            zone: entry.zone.as_deref(),
            machine_type: entry.machine_type.as_deref(),
            cell: entry.cell,
            status: entry.status,
            weight: entry.weight,
            started_ms: entry.started_ms,
        }
    }
}

fn to_json(entries: &impl Serialize) -> Bytes {
    Bytes::from(serde_json::to_vec(entries).unwrap_or_default())
}

impl From<ListUpdate> for RenderedList {
    fn from(update: ListUpdate) -> Self {
        let entries: Vec<PlatformEntry> = update.endpoints.iter().map(PlatformEntry::from).collect();
        Self { platform_entries: to_json(&entries), ..Self::native_only(&update) }
    }
}

impl RenderedList {
    /// Encodes the entries in the registry's own protocol only.
    fn native_only(update: &ListUpdate) -> Self {
        Self {
            version: update.version,
            snapshot: update.snapshot,
            digest: update.digest,
            native_entries: to_json(&update.endpoints),
            platform_entries: Bytes::new(),
        }
    }

    /// An update without changes up to this version.
    fn unchanged(version: Version, digest: u64) -> Self {
        let none = Bytes::from_static(b"[]");
        Self { version, snapshot: false, digest, native_entries: none, platform_entries: Bytes::new() }
    }
}

/// Maximum number of entries in the cache for all services. Readers are at few different indexes at a time.
const MAX_CACHED_LISTS: usize = 64;
/// Maximum number of bytes in the cache for some services.
const MAX_CACHED_BYTES: usize = 16 << 20;

/// Caches the encoded lists of the newest version.
#[derive(Default)]
pub struct RenderCache {
    all_services: Mutex<VersionCache>,
    some_services: Mutex<ServicesCache>,
}

/// Lists of all services, by the index that a reader has.
#[derive(Default)]
struct VersionCache {
    version: Version,
    lists: HashMap<Option<u64>, Arc<RenderedList>>,
}

/// A set of services, and the lowest index whose readers get the same changes; `None` for the full list.
type ServicesKey = (Arc<[String]>, Option<u64>);

/// Lists of some services.
#[derive(Default)]
struct ServicesCache {
    version: Version,
    bytes: usize,
    lists: HashMap<ServicesKey, Arc<RenderedList>>,
}

impl RenderCache {
    /// Returns the changes after an index, or the full list.
    pub fn all_services<T: Transport>(&self, node: &Node<T>, after: Option<u64>) -> Arc<RenderedList> {
        let mut cache = lock(&self.all_services);
        let version = node.applied_state().state().list.version();
        if cache.version != version || cache.lists.len() >= MAX_CACHED_LISTS {
            *cache = VersionCache { version, lists: HashMap::new() };
        }
        if let Some(rendered) = cache.lists.get(&after) {
            return Arc::clone(rendered);
        }
        let update = node.applied_state().state().list.update(after);
        let rendered = Arc::new(RenderedList::from(update));
        // Not cached if the list has changed since `version` was read.
        if rendered.version == version {
            cache.lists.insert(after, Arc::clone(&rendered));
        }
        rendered
    }

    /// Returns the changes in some services after an index, or the full list of those services.
    pub fn some_services<T: Transport>(
        &self,
        node: &Node<T>,
        after: Option<u64>,
        services: &Arc<[String]>,
    ) -> Arc<RenderedList> {
        let (version, equivalent) = {
            let list = &node.applied_state().state().list;
            let (version, equivalent) = (list.version(), list.equivalent_index(after, services));
            if equivalent.is_some_and(|index| index >= list.services_changed_index(services)) {
                // Most watches end without a change; such responses are not cached.
                return Arc::new(RenderedList::unchanged(version, list.services_digest(services)));
            }
            (version, equivalent)
        };
        let key = (Arc::clone(services), equivalent);
        if let Some(rendered) = lock(&self.some_services).get(version, &key) {
            return rendered;
        }
        // Encoded without holding the lock, so that other requests don't wait. Two equal requests may both encode.
        let update = node.applied_state().state().list.update_for_services(equivalent, services);
        let rendered = Arc::new(RenderedList::native_only(&update));
        lock(&self.some_services).insert(version, key, &rendered);
        rendered
    }
}

impl ServicesCache {
    fn get(&self, version: Version, key: &ServicesKey) -> Option<Arc<RenderedList>> {
        if self.version != version {
            return None;
        }
        self.lists.get(key).map(Arc::clone)
    }

    /// Adds a list; `requested` is the version for which the key was computed.
    fn insert(&mut self, requested: Version, key: ServicesKey, rendered: &Arc<RenderedList>) {
        if self.version < rendered.version || self.bytes > MAX_CACHED_BYTES {
            *self = Self { version: rendered.version, ..Self::default() };
        }
        // If the list has changed since that version was read, the key does not apply to the newer version.
        if self.version == rendered.version && rendered.version == requested {
            self.bytes += rendered.native_entries.len();
            self.lists.insert(key, Arc::clone(rendered));
        }
    }
}

fn lock<V>(mutex: &Mutex<V>) -> MutexGuard<'_, V> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

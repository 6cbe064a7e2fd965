//! Metrics of a replica, in the text format of Prometheus. Names and help texts are part of the interface.

use crate::node::Node;
use crate::raft::Transport;
use lotusmoor_registry_client::Status;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Prefix of the names of all metrics.
const PREFIX: &str = "roster";
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: i64 = 1000;

type Label = [(&'static str, String); 1];

/// The metrics of a replica.
pub struct Metrics {
    registry: Registry,
    /// Full lists that were sent.
    pub full_lists: Counter,
    /// Watches that were answered with a change.
    pub watches_answered: Counter,
    /// Requests for a full list that were deferred with `Retry-After`.
    pub full_lists_deferred: Counter,
    /// Requests that were rejected because the list could be too old.
    pub too_stale: Counter,
    /// Connections over the limit, which were closed.
    pub connections_rejected: Counter,
    index: Gauge,
    epoch: Gauge,
    term: Gauge,
    is_leader: Gauge,
    age_ms: Gauge,
    watchers: Gauge,
    deferred_expiries: Gauge,
    log_entries: Gauge,
    store_reopened: Gauge,
    log_lines_dropped: Gauge,
    servers: Family<Label, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        macro_rules! registered {
            ($kind:ty, $name:literal, $help:literal) => {{
                let metric = <$kind>::default();
                registry.register($name, $help, metric.clone());
                metric
            }};
        }
        Self {
            full_lists: registered!(Counter, "whole_lists", "Whole lists that were told"),
            watches_answered: registered!(Counter, "woken", "Watches that were answered with news"),
            full_lists_deferred: registered!(Counter, "turned_away", "Calls that were told to come again"),
            too_stale: registered!(Counter, "refused_stale", "Calls refused as the list could be too old"),
            connections_rejected: registered!(Counter, "connections_refused", "Connections beyond the limit"),
            index: registered!(Gauge, "index", "Index of the list"),
            epoch: registered!(Gauge, "epoch", "Epoch of the list"),
            term: registered!(Gauge, "term", "Term of the log"),
            is_leader: registered!(Gauge, "leads", "1 at the leader"),
            age_ms: registered!(
                Gauge,
                "age_ms",
                "How old this replica's list can be; -1 where that is not known"
            ),
            watchers: registered!(Gauge, "watchers", "Watches that wait"),
            deferred_expiries: registered!(
                Gauge,
                "waiting_to_expire",
                "Leases that ran out and wait for room (leader)"
            ),
            log_entries: registered!(Gauge, "log_entries", "Entries of the log since its last snapshot"),
            store_reopened: registered!(
                Gauge,
                "store_reopened",
                "Times the store was opened anew after its disk failed"
            ),
            log_lines_dropped: registered!(
                Gauge,
                "log_lines_dropped",
                "Log lines that standard error did not take at once"
            ),
            servers: registered!(Family<Label, Gauge>, "servers", "Servers by status"),
            registry,
        }
    }
}

impl Metrics {
    /// Updates the gauges from the replica's state and encodes all metrics.
    pub fn encode<T: Transport>(&self, node: &Node<T>, watchers: usize) -> String {
        self.update_list_gauges(node);
        self.update_raft_gauges(node);
        self.age_ms.set(node.age().map_or(-1, |age| age / MICROS_PER_MILLI));
        set(&self.watchers, watchers as u64);
        set(&self.store_reopened, node.settings().store_reopen_count);
        set(&self.log_lines_dropped, lotusmoor_log_output::dropped_lines());
        set(&self.deferred_expiries, node.deferred_expiries() as u64);
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn update_list_gauges<T: Transport>(&self, node: &Node<T>) {
        let state = node.applied_state().state();
        set(&self.index, state.list.version().index);
        set(&self.epoch, state.list.version().epoch);
        for (name, status) in [("active", Status::Active), ("leaving", Status::Draining)] {
            let count = state.list.entries().values().filter(|e| e.entry.status == status).count();
            set(&self.servers.get_or_create(&[("status", name.to_owned())]), count as u64);
        }
    }

    fn update_raft_gauges<T: Transport>(&self, node: &Node<T>) {
        let metrics = node.raft().metrics().borrow().clone();
        set(&self.term, metrics.current_term);
        set(&self.is_leader, u64::from(metrics.current_leader == Some(node.settings().id)));
        let snapshot = metrics.snapshot.map_or(0, |log_id| log_id.index);
        set(&self.log_entries, metrics.last_log_index.unwrap_or(0).saturating_sub(snapshot));
    }
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

//! What is counted, in the form that Prometheus reads.

use crate::node::Node;
use crate::raft::Transport;
use lotusmoor_registry_client::Status;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Label = [(&'static str, String); 1];

/// The service's counts.
pub struct Metrics {
    registry: Registry,
    /// Whole lists that were told.
    pub whole_lists: Counter,
    /// Watches that were answered with news.
    pub woken: Counter,
    /// Calls that were told to come again.
    pub turned_away: Counter,
    /// Calls that were refused, as the list could be too old.
    pub refused_stale: Counter,
    /// Connections that were turned away, as there were too many.
    pub connections_refused: Counter,
    index: Gauge,
    epoch: Gauge,
    term: Gauge,
    leads: Gauge,
    age_ms: Gauge,
    watchers: Gauge,
    waiting: Gauge,
    log_entries: Gauge,
    store_reopened: Gauge,
    servers: Family<Label, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut r = Registry::with_prefix("roster");
        macro_rules! with {
            ($kind:ty, $name:literal, $help:literal) => {{
                let metric = <$kind>::default();
                r.register($name, $help, metric.clone());
                metric
            }};
        }
        Self {
            whole_lists: with!(Counter, "whole_lists", "Whole lists that were told"),
            woken: with!(Counter, "woken", "Watches that were answered with news"),
            turned_away: with!(Counter, "turned_away", "Calls that were told to come again"),
            refused_stale: with!(Counter, "refused_stale", "Calls refused as the list could be too old"),
            connections_refused: with!(Counter, "connections_refused", "Connections beyond the limit"),
            index: with!(Gauge, "index", "Index of the list"),
            epoch: with!(Gauge, "epoch", "Epoch of the list"),
            term: with!(Gauge, "term", "Term of the log"),
            leads: with!(Gauge, "leads", "1 at the leader"),
            age_ms: with!(Gauge, "age_ms", "How old this replica's list can be; -1 where that is not known"),
            watchers: with!(Gauge, "watchers", "Watches that wait"),
            waiting: with!(Gauge, "waiting_to_expire", "Leases that ran out and wait for room (leader)"),
            log_entries: with!(Gauge, "log_entries", "Entries of the log since its last snapshot"),
            store_reopened: with!(
                Gauge,
                "store_reopened",
                "Times the store was opened anew after its disk failed"
            ),
            servers: with!(Family<Label, Gauge>, "servers", "Servers by status"),
            registry: r,
        }
    }
}

impl Metrics {
    /// All of it as text.
    pub fn text<T: Transport>(&self, node: &Node<T>, watchers: usize) -> String {
        let metrics = node.raft().metrics().borrow().clone();
        let set = |gauge: &Gauge, value: u64| {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        {
            let state = node.shared().state();
            set(&self.index, state.list.version().index);
            set(&self.epoch, state.list.version().epoch);
            for (name, status) in [("active", Status::Active), ("leaving", Status::Draining)] {
                let count = state.list.entries().values().filter(|k| k.entry.status == status).count();
                set(&self.servers.get_or_create(&[("status", name.to_owned())]), count as u64);
            }
        }
        set(&self.term, metrics.current_term);
        set(&self.leads, u64::from(metrics.current_leader == Some(node.settings().id)));
        self.age_ms.set(node.age().map_or(-1, |a| a / 1000));
        set(&self.watchers, watchers as u64);
        set(&self.store_reopened, node.settings().store_reopen_count);
        set(&self.waiting, node.pending_expirations() as u64);
        let snapshot = metrics.snapshot.map_or(0, |l| l.index);
        set(&self.log_entries, metrics.last_log_index.unwrap_or(0).saturating_sub(snapshot));
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

//! The figures that runs are compared by, by name.

use crate::model::Figures;

type Of = fn(&Figures) -> f64;

const ALL: [(&str, Of); 23] = [
    ("g", |f| f.score),
    ("whole", |f| f.whole_run),
    ("worst_window", |f| f.worst_window),
    ("worst_class", |f| f.worst_class),
    ("worst_tenant", |f| f.worst_tenant),
    ("late", |f| f.late),
    ("refused", |f| f.refused),
    ("failed", |f| f.failed),
    ("tries", |f| f.tries),
    ("attempts", |f| f.attempts),
    ("crossed", |f| f.cross_zone),
    ("handshakes", |f| f.handshakes),
    ("wasted", |f| f.wasted),
    ("tipped", |f| f.overload_crashes as f64),
    ("p50_ms", |f| f.latency_ms[0]),
    ("p99_ms", |f| f.latency_ms[1]),
    ("p999_ms", |f| f.latency_ms[2]),
    ("staleness_p99_ms", |f| f.staleness_ms[1]),
    ("told_after_p99_ms", |f| f.notified_after_ms[1]),
    ("told_last_p50_ms", |f| f.last_notified_ms[0]),
    ("told_last_p99_ms", |f| f.last_notified_ms[1]),
    ("told_last_most_ms", |f| f.last_notified_ms[2]),
    ("broken", |f| f.violations.values().sum::<u64>() as f64),
];

/// Names of all measures.
pub fn measures() -> impl Iterator<Item = &'static str> {
    ALL.iter().map(|(name, _)| *name)
}

/// The measure of that name.
pub fn measure(name: &str, figures: &Figures) -> Option<f64> {
    ALL.iter().find(|(n, _)| *n == name).map(|(_, of)| of(figures))
}

//! Propagation times: matches the changes that the writer recorded with the lists that the hollow sidecars applied.

use super::results::Mode;
use super::topology::Topology;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io;

/// An acknowledged change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The index of the list after the change.
    pub index: u64,
    /// The server that changed.
    pub server: usize,
    /// When the acknowledgement arrived, on the clock of [`super::monotonic`].
    pub at: i64,
}

/// An empty histogram of latencies in microseconds.
pub fn latency_histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(io::Error::other)
}

/// Adds median, 99th percentile and maximum of latencies to `figures`, in milliseconds; nothing if there are none.
pub fn insert_quantiles(name: &str, latencies: &Histogram<u64>, figures: &mut BTreeMap<String, f64>) {
    if latencies.is_empty() {
        return;
    }
    let ms = |us: u64| us as f64 / 1000.0;
    figures.insert(format!("{name}_ms_p50"), ms(latencies.value_at_quantile(0.5)));
    figures.insert(format!("{name}_ms_p99"), ms(latencies.value_at_quantile(0.99)));
    figures.insert(format!("{name}_ms_max"), ms(latencies.max()));
}

/// For each change and each hollow sidecar that it concerns, the time from the acknowledgement until the sidecar
/// applied it or a later one; and the number of changes that were not delivered, summed over the sidecars. `applied`
/// has the index and the time of each list that each sidecar applied, in order.
pub fn propagation_latencies(
    changes: &[Change],
    topology: &Topology,
    mode: Mode,
    applied: &BTreeMap<usize, Vec<(u64, i64)>>,
) -> io::Result<(Histogram<u64>, u64)> {
    let (mut latencies, mut undelivered) = (latency_histogram()?, 0);
    for (sidecar, calls) in topology.hollow_calls.iter().enumerate() {
        let lists = applied.get(&sidecar).map_or(&[][..], Vec::as_slice);
        for change in changes.iter().filter(|c| topology.concerns(mode, calls, c.server)) {
            match lists.get(lists.partition_point(|(index, _)| *index < change.index)) {
                // A sidecar may receive the change before the writer receives its acknowledgement.
                Some((_, at)) => {
                    latencies.saturating_record(u64::try_from(at - change.at).unwrap_or(0).max(1))
                }
                None => undelivered += 1,
            }
        }
    }
    Ok((latencies, undelivered))
}

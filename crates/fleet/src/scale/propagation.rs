//! When whom was told of which change: what the writer of changes and the readers each noted, put together.

use super::lines::Mode;
use super::topology::Topology;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io;

/// A change that was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The list's index from it on.
    pub index: u64,
    /// The server that changed.
    pub server: usize,
    /// When its acknowledgement had come.
    pub at: i64,
}

/// Latencies in microseconds.
pub fn latencies() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(io::Error::other)
}

/// Puts median, 99th percentile and most of latencies into figures, in milliseconds.
pub fn milliseconds(name: &str, of: &Histogram<u64>, into: &mut BTreeMap<String, f64>) {
    if of.is_empty() {
        return;
    }
    let ms = |us: u64| us as f64 / 1000.0;
    into.insert(format!("{name}_ms_p50"), ms(of.value_at_quantile(0.5)));
    into.insert(format!("{name}_ms_p99"), ms(of.value_at_quantile(0.99)));
    into.insert(format!("{name}_ms_max"), ms(of.max()));
}

/// For each reader that each change concerns, the time until it had that change or a later one; and how many never
/// had. `told` has what each reader put into use and when, in order.
pub fn join(
    changes: &[Change],
    topology: &Topology,
    mode: Mode,
    told: &BTreeMap<usize, Vec<(u64, i64)>>,
) -> io::Result<(Histogram<u64>, u64)> {
    let (mut all, mut untold) = (latencies()?, 0);
    for (reader, calls) in topology.hollow_calls.iter().enumerate() {
        let lists = told.get(&reader).map_or(&[][..], Vec::as_slice);
        for change in changes.iter().filter(|c| topology.concerns(mode, calls, c.server)) {
            match lists.get(lists.partition_point(|(index, _)| *index < change.index)) {
                // A watch may be answered before the writer is.
                Some((_, at)) => all.saturating_record(u64::try_from(at - change.at).unwrap_or(0).max(1)),
                None => untold += 1,
            }
        }
    }
    Ok((all, untold))
}

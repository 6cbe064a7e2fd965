//! The rule for servers that are warming up: whether all sidecars together have sent such a server more requests than
//! it can handle.

use super::history::History;
use super::{Rule, Violation};
use std::collections::HashMap;

/// The requests that a server received between one of its starts and the next, in order of time. Each has the time,
/// whether its sidecar had been notified of the start by then, and the request's id.
fn since_start(history: &History, server: usize, start: i64) -> Vec<(i64, bool, &str)> {
    let next = history.server_starts.iter().filter(|s| s.0 == server && s.1 > start).map(|s| s.1).min();
    let sidecars: HashMap<&str, usize> =
        history.requests.iter().map(|r| (r.id.as_str(), r.sidecar)).collect();
    let mut notified: HashMap<usize, i64> = HashMap::new();
    for (sidecar, _, at) in history.notified_available.iter().filter(|n| n.1 == server && n.2 >= start) {
        notified.entry(*sidecar).and_modify(|first| *first = (*at).min(*first)).or_insert(*at);
    }
    let attempts = history.attempts.iter().filter(|a| a.server == server);
    let mut received: Vec<_> = attempts
        .filter(|a| {
            a.request.received_at.1 >= start && next.is_none_or(|next| a.request.received_at.1 < next)
        })
        .map(|a| {
            let (at, id) = (a.request.received_at.1, a.request.id.as_str());
            let was_notified =
                sidecars.get(id).and_then(|s| notified.get(s)).is_some_and(|notified| *notified <= at);
            (at, was_notified, id)
        })
        .collect();
    received.sort_by_key(|r| r.0);
    received
}

/// The first overload of a server after each of its starts, if more than two thirds of the requests in the window came
/// from sidecars that had been notified of the start. The limit that operators are given includes a tolerance (see
/// [`SlowStartLimit::max_requests`](super::SlowStartLimit::max_requests)) and allows no more, so `slack` is not added.
pub(super) fn slow_start_overloads(history: &History) -> Vec<Violation> {
    let Some(limit) = &history.slow_start_limit else { return Vec::new() };
    let overload = |(server, start): &(usize, i64)| {
        let received = since_start(history, *server, *start);
        let mut first = 0;
        received.iter().enumerate().find_map(|(last, (at, _, id))| {
            while received[first].0 <= at - limit.window {
                first += 1;
            }
            let window = &received[first..=last];
            let (n, max) = (window.len(), limit.max_requests(at - start)?);
            let notified = window.iter().filter(|r| r.1).count();
            (n as f64 > max && 3 * notified > 2 * n).then(|| Violation {
                rule: Rule::RespectsSlowStart,
                id: (*id).to_owned(),
                details: format!(
                    "request {n} within {} us at server {server}, {} us after its start, where the limit is {max:.1}; \
                     {notified} came from sidecars that had been notified of the start",
                    limit.window,
                    at - start
                ),
            })
        })
    };
    history.server_starts.iter().filter_map(overload).collect()
}

/// For each start of a server: its number, the most requests that it received within one window while it was warming
/// up, and all requests that it received in that time.
pub fn slow_start_peaks(history: &History) -> Vec<(usize, usize, usize)> {
    let Some(limit) = &history.slow_start_limit else { return Vec::new() };
    let peak = |(server, start): &(usize, i64)| {
        let mut received = since_start(history, *server, *start);
        received.retain(|r| limit.max_requests(r.0 - start).is_some());
        let within = |to: i64| received.iter().filter(|r| r.0 <= to && r.0 > to - limit.window).count();
        (*server, received.iter().map(|r| within(r.0)).max().unwrap_or(0), received.len())
    };
    history.server_starts.iter().map(peak).collect()
}

/// The peak load of servers that were warming up: the most requests that one received within a window, as a fraction of
/// the limit at that age; `None` if no server was warming up.
pub fn peak_slow_start_load(history: &History) -> Option<f64> {
    let limit = history.slow_start_limit.as_ref()?;
    let load = |(server, start): &(usize, i64)| {
        let received = since_start(history, *server, *start);
        let within = |to: i64| received.iter().filter(|r| r.0 <= to && r.0 > to - limit.window).count();
        let loads =
            received.iter().filter_map(|r| Some(within(r.0) as f64 / limit.max_requests(r.0 - start)?));
        loads.max_by(f64::total_cmp)
    };
    history.server_starts.iter().filter_map(load).max_by(f64::total_cmp)
}
